"""Latencies of the whole fleet, merged from the nodes' histograms."""

import anyio
from hdrh import histogram
import msgspec

from radishcourse_platform import errors as platform_errors
from radishcourse_platform import http

TIMEOUT_S = 5.0
PERCENTILES = (50, 95, 99)
HEADER = (
    'SERIES',
    'ORGANISATION',
    'KIND',
    'JOBS',
    *(f'P{percentile} MS' for percentile in PERCENTILES),
)
EncodedHistograms = dict[str, str]


async def fetch_merged(
    addresses: list[str],
) -> dict[str, histogram.HdrHistogram]:
    """Returns merged histograms by `series/organisation/kind`.

    Nodes that do not respond are left out.

    Args:
      addresses: The nodes' addresses for callers.
    """
    merged: dict[str, histogram.HdrHistogram] = {}

    async def fetch_one(address: str) -> None:
        for key, encoded in (await _fetch_histograms(address)).items():
            if key in merged:
                merged[key].decode_and_add(encoded.encode())
            else:
                merged[key] = histogram.HdrHistogram.decode(encoded.encode())

    async with anyio.create_task_group() as tasks:
        for address in addresses:
            tasks.start_soon(fetch_one, address)
    return merged


def list_rows(merged: dict[str, histogram.HdrHistogram]) -> list[tuple]:
    """Returns a table row for each histogram, in order of its key."""
    return [
        (
            *key.split('/'),
            merged[key].get_total_count(),
            *(
                f'{merged[key].get_value_at_percentile(percentile) / 1000:.1f}'
                for percentile in PERCENTILES
            ),
        )
        for key in sorted(merged)
    ]


async def _fetch_histograms(address: str) -> EncodedHistograms:
    async with http.open_client(f'http://{address}', TIMEOUT_S) as client:
        try:
            response = await client.call('GET', '/v1/node/histograms')
            return msgspec.json.decode(response.body, type=EncodedHistograms)
        except (platform_errors.PlatformError, msgspec.MsgspecError):
            return {}
