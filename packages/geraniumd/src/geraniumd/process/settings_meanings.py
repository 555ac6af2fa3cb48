"""Descriptions of the settings for ``docs/SETTINGS.md``."""

from types import MappingProxyType

MEANINGS = MappingProxyType(
    {
        'host': 'name of the host, unique in the system',
        'zone': 'availability zone of the host',
        'region': 'region of the host',
        'operator_token_file': (
            'file with the token of operators; by default the token is read '
            'from the environment variable `GERANIUM_OPERATOR_TOKEN`'
        ),
        'peer_secret_file': (
            'file with the secret shared by all daemons; by default it is read '
            'from the environment variable `GERANIUM_PEER_SECRET`'
        ),
        'listen': 'address to listen on; with port 0 the kernel assigns a port',
        'advertise': 'address that clients connect to; by default the bound address',
        'platform.address': 'address of the platform',
        'platform.call_timeout_s': 'timeout of a call, except watches',
        'platform.retry_interval_s': 'delay before a failed call is retried',
        'platform.presence_interval_s': (
            'interval at which the presences of other daemons are read'
        ),
        'gateway.max_body_bytes': 'maximum size of a request body',
        'gateway.default_deadline_s': (
            'deadline of a request without `Request-Deadline-Ms`'
        ),
        'gateway.max_deadline_s': 'maximum deadline of a request',
        'gateway.address_ttl_s': (
            'how long callers may cache the response of `/v1/hosts`'
        ),
        'gateway.first_token_patience': (
            'a completion is refused if it would be queued longer than this '
            "multiple of the service's first-token objective"
        ),
        'gateway.max_buffered_answer_bytes': (
            'maximum size of a response to a request without streaming'
        ),
        'gateway.caller_stall_s': (
            'timeout after which a caller that reads nothing is disconnected'
        ),
        'targets.connect_timeout_s': 'timeout for opening a connection',
        'targets.silence_timeout_s': (
            'timeout after which a stream without data from its engine is '
            'considered lost'
        ),
        'targets.application_timeout_s': (
            'timeout of a call to an application target'
        ),
        'targets.idle_connection_s': (
            'time after which an idle connection is closed'
        ),
        'targets.load_interval_s': (
            'interval at which the load of an engine is read'
        ),
        'targets.list_interval_s': (
            "interval at which the platform's lists are read"
        ),
        'peers.heartbeat_interval_s': 'interval between two pings of a peer',
        'peers.silence_timeout_s': (
            'timeout after which an unresponsive peer is considered silent'
        ),
        'peers.handshake_timeout_s': 'timeout for opening a link',
        'peers.reconnect_interval_s': 'delay before a lost link is reconnected',
        'peers.max_frame_bytes': 'maximum size of a message between daemons',
        'peers.links_in_zone': (
            'number of peers in the same zone that a daemon connects to, '
            'besides the voters'
        ),
        'peers.links_per_other_zone': (
            'number of peers in each other zone that a daemon connects to, '
            'besides the voters'
        ),
        'usage.window_s': 'length of the window that one usage report covers',
        'usage.late_s': 'delay from the end of a window until it is reported',
        'usage.batch_interval_s': (
            'interval between two replications of usage to peers; usage counted '
            'since the last one is lost if the host fails'
        ),
        'control.plan_roles': (
            'whether directors adjust engine roles to the demand; in '
            'the policy model, engines with the fixed role mixed performed '
            'as well or better'
        ),
        'shutdown.linger_s': (
            'how long a leaving daemon still accepts requests; longer than '
            '`gateway.address_ttl_s`'
        ),
        'shutdown.drain_s': 'maximum time to wait for running requests to end',
    },
)
