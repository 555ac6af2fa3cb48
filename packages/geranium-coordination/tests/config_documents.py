"""Configuration documents for the tests."""

from geranium_model import key_digest, parse_document


def document_of(teams: int, keys_per_team: int = 1, targets: int = 2):
    return parse_document(
        {
            'zones': [{'name': 'khomas-a', 'region': 'khomas'}],
            'services': [
                {'kind': 'model', 'name': 'wording-llm', 'model': 'wording'},
            ],
            'targets': [
                {
                    'kind': 'engine',
                    'name': f'e-{number}',
                    'service': 'wording-llm',
                    'zone': 'khomas-a',
                    'address': '10.0.0.1:9000',
                }
                for number in range(targets)
            ],
            'teams': [
                {'name': f'team-{number}', 'weight': 1}
                for number in range(teams)
            ],
            'keys': [
                {
                    'key_id': f'key-{number}-{index}',
                    'team': f'team-{number}',
                    'sha256': key_digest(f'{number}-{index}'),
                }
                for number in range(teams)
                for index in range(keys_per_team)
            ],
        },
    )


def adding_team(name: str):
    def mutation(document):
        raw = document.model_dump(mode='json')
        raw['teams'].append({'name': name, 'weight': 1})
        return type(document).model_validate(raw)

    return mutation


def replacing_with(document):
    return lambda _: document


def withdrawing(*digests: str):
    def mutation(document):
        kept = tuple(key for key in document.keys if key.sha256 not in digests)
        return document.model_copy(update={'keys': kept})

    return mutation
