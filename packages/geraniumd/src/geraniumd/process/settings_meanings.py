"""What each setting means, for the page of settings."""

from types import MappingProxyType

MEANINGS = MappingProxyType(
    {
        'host': "the host's name, unique in the system",
        'zone': 'its availability zone',
        'region': 'its region',
        'operator_token_file': (
            'file with the token of operators; without it the variable '
            '`GERANIUM_OPERATOR_TOKEN` holds the token'
        ),
        'peer_secret_file': (
            'file with the secret that all daemons share; without it the '
            'variable `GERANIUM_PEER_SECRET` holds it'
        ),
        'listen': 'address to listen on; port 0 takes one from the kernel',
        'advertise': 'address that others are told; without it the bound one',
        'platform.address': "the platform's interface",
        'platform.call_timeout_s': 'limit of a call, watches aside',
        'platform.retry_interval_s': 'pause after a failed call',
        'platform.presence_interval_s': (
            'pause between two readings of where the other daemons are'
        ),
        'gateway.max_body_bytes': 'largest body of a call',
        'gateway.default_deadline_s': (
            'deadline of a call without `Request-Deadline-Ms`'
        ),
        'gateway.max_deadline_s': 'longest deadline that a caller gets',
        'gateway.address_ttl_s': (
            'how long callers may use the answer of `/v1/hosts`'
        ),
        'gateway.first_token_patience': (
            'a completion that waits for its turn longer than so many times '
            "the service's first-token objective is refused"
        ),
        'gateway.max_buffered_answer_bytes': (
            'largest answer that is gathered for a caller who does not stream'
        ),
        'gateway.caller_stall_s': (
            'a caller who reads nothing for so long is given up'
        ),
        'targets.connect_timeout_s': 'limit of opening a connection',
        'targets.silence_timeout_s': (
            'an engine that sends nothing for so long in a stream is given up'
        ),
        'targets.application_timeout_s': (
            'limit of a call to an application target'
        ),
        'targets.idle_connection_s': (
            'a connection without calls for so long is closed'
        ),
        'targets.load_interval_s': (
            "pause between two readings of an engine's load"
        ),
        'targets.list_interval_s': (
            "pause between two readings of the platform's lists"
        ),
        'peers.heartbeat_interval_s': 'pause between two pings of a peer',
        'peers.silence_timeout_s': (
            'a peer that does not answer for so long counts as silent'
        ),
        'peers.handshake_timeout_s': 'limit of opening a link',
        'peers.reconnect_interval_s': 'pause before a lost link is dialled',
        'peers.max_frame_bytes': 'largest message between daemons',
        'peers.links_in_zone': 'links that a daemon dials in its own zone',
        'peers.links_per_other_zone': (
            'links that a daemon dials in each other zone'
        ),
        'usage.window_s': 'span of time that one usage report is for',
        'usage.late_s': 'time after the end of a window until it is reported',
        'usage.batch_interval_s': (
            'pause between two replications of usage to peers; what was '
            'counted since is lost with the host'
        ),
        'control.plan_roles': (
            "whether directors move engines' roles with the demand; in the "
            'model of the policy fixed mixed engines did as well or better'
        ),
        'shutdown.linger_s': (
            'how long a leaving daemon still takes calls; longer than '
            '`gateway.address_ttl_s`'
        ),
        'shutdown.drain_s': 'longest wait for running calls to end',
    },
)
