"""Tests of the metrics of requests and of a running node."""

import aiohttp
import aioprometheus
from fakes import documents
from fakes import meshes

from savorytally import metrics
from savorytally import results


def series(text):
    """Return the values of rendered metrics by series."""
    lines = [line for line in text.splitlines() if not line.startswith("#")]
    return {
        name: float(value)
        for name, value in (line.rsplit(" ", 1) for line in lines if line)
    }


class TestMetrics:
    def test_requests_are_counted_by_code_organisation_and_class(self):
        node_metrics = metrics.Metrics(aioprometheus.Registry())
        labels = metrics.Labels("org1", "browsing")
        node_metrics.count_request(labels, results.ANSWERED, 0.004)
        node_metrics.count_request(labels, results.ANSWERED, 0.3)
        node_metrics.count_request(
            metrics.Labels(), results.UNKNOWN_ROUTE, 0.0
        )
        found = series(node_metrics.render()[0].decode())
        assert (
            found[
                'savorytally_requests_total{class="browsing",code="2000",'
                'name="answered",organisation="org1"}'
            ]
            == 2
        )
        bucket = 'savorytally_request_seconds_bucket{class="browsing",le='
        assert found[bucket + '"0.005"}'] == 1
        assert found[bucket + '"+Inf"}'] == 2

    def test_registries_are_separate(self):
        node_metrics = [
            metrics.Metrics(aioprometheus.Registry()) for _ in range(2)
        ]
        node_metrics[0].count_request(metrics.Labels(), results.ANSWERED, 0.1)
        assert b"2000" in node_metrics[0].render()[0]
        assert b"2000" not in node_metrics[1].render()[0]


class TestEndpoint:
    def test_node_serves_its_metrics(self, run, free_port):
        async def work():
            mesh = await meshes.start(free_port, ["browse", "checklist"])
            ports = mesh.nodes["browse-0"].node.settings.ports
            url = mesh.entry_urls["browse-0"] + "/checklist/pull"
            key = documents.key_of("org1")
            sent = {"Authorization": f"Bearer {key}"}
            async with aiohttp.ClientSession() as session:
                async with session.get(url, headers=sent):
                    pass
                scrape = f"http://127.0.0.1:{ports.admin}/metrics"
                async with session.get(scrape) as response:
                    text = await response.text()
            await mesh.stop()
            return text

        text = run(work())
        found = series(text)
        assert found["savorytally_configuration_version"] == 1
        assert found["savorytally_hosts"] == 2
        assert 'code="2000"' in text
        assert documents.key_of("org1") not in text
