package meter

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Handler returns an HTTP handler that serves the metrics in the Prometheus text
// format, or as JSON if the query is ?format=json.
func (m *Meter) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("format") == "json" {
			w.Header().Set("Content-Type", "application/json")
			metrics.WriteJSONOnce(m.registry, w)

			return
		}
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		m.writeText(w)
	})
}

// writeText writes the metrics in the Prometheus text format, in alphabetical order.
func (m *Meter) writeText(w io.Writer) {
	lines := []string{}
	m.registry.Each(func(name string, metric any) {
		name = "oleanderpick_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
		switch metric := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s_total %d\n", name, metric.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d\n", name, metric.Value()))
		case metrics.Histogram:
			lines = append(lines, formatSummary(name, metric.Snapshot()))
		}
	})
	sort.Strings(lines)
	_, _ = io.WriteString(w, strings.Join(lines, ""))
}

// formatSummary returns the text lines of a histogram: its quantiles, count and sum.
func formatSummary(name string, histogram metrics.Histogram) string {
	quantiles := []float64{0.5, 0.95, 0.99}
	text := strings.Builder{}
	for i, value := range histogram.Percentiles(quantiles) {
		fmt.Fprintf(&text, "%s{quantile=\"%g\"} %g\n", name, quantiles[i], value)
	}
	fmt.Fprintf(&text, "%s_count %d\n%s_sum %d\n", name, histogram.Count(), name, histogram.Sum())

	return text.String()
}
