package profiler

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// ByteCounts are numbers of bytes, or rates in bytes per second, in both directions. They
// include HTTP headers, but not the overhead of TCP.
type ByteCounts struct {
	Sent     float64 `json:"sent"`
	Received float64 `json:"received"`
}

// ComponentUsage is what one component of an instance needs. Rates are per second of
// simulated time.
type ComponentUsage struct {
	Name string `json:"name"`
	// HeapBytes is the size of the live heap objects.
	HeapBytes float64 `json:"heap"`
	// CPUSeconds is the CPU time of this process per second of simulated time, in
	// seconds. It includes the CPU time of the stand-ins.
	CPUSeconds float64 `json:"cpu"`
	// MessagesPerSecond is the rate of calls sent to peers and received from them.
	MessagesPerSecond float64 `json:"messages,omitempty"`
	// EncodedBytesPerSecond is the size of the encoded messages sent to peers, without
	// HTTP.
	EncodedBytesPerSecond float64 `json:"encoded,omitempty"`
	// PeerBytesPerSecond holds the bytes exchanged with peers, by data centre.
	PeerBytesPerSecond map[string]ByteCounts `json:"peers,omitempty"`
	// ReadsPerSecond and WritesPerSecond are the rates of calls to the platform.
	// OpenWatches is the number of watch calls that wait there at once.
	ReadsPerSecond  float64 `json:"reads"`
	WritesPerSecond float64 `json:"writes"`
	OpenWatches     float64 `json:"watches"`
	// PlatformBytesPerSecond holds the bytes exchanged with the platform.
	PlatformBytesPerSecond ByteCounts `json:"platform"`
}

// peerBytesSentPerSecond returns the bytes sent per second to the peers of all data
// centres.
func (p ComponentUsage) peerBytesSentPerSecond() float64 {
	sum := 0.0
	for _, bytes := range p.PeerBytesPerSecond {
		sum += bytes.Sent
	}

	return sum
}

// Sample is what one instance needs in a deployment of one size.
type Sample struct {
	// ScaleFactor is the size of the deployment as a fraction of the full plan.
	ScaleFactor float64          `json:"share"`
	Plan        Plan             `json:"plan"`
	Components  []ComponentUsage `json:"parts"`
	// LeaseHolder is what an instance needs in addition while it holds the lease, to
	// compile and write revisions. It is not part of the total.
	LeaseHolder ComponentUsage `json:"holder"`
	// HomeCount is the number of instances that the measured one requests credit from,
	// UsedEndpointCount the number of endpoints that it uses, and HomedEndpointCount the
	// number of endpoints whose credit it grants.
	HomeCount          int `json:"homes"`
	UsedEndpointCount  int `json:"subset"`
	HomedEndpointCount int `json:"homed"`
	// RunningRequestCount is the number of requests that ran at the end.
	RunningRequestCount int `json:"running"`
}

// Total returns the sum of all components.
func (s Sample) Total() ComponentUsage {
	total := ComponentUsage{Name: "total", PeerBytesPerSecond: map[string]ByteCounts{}}
	for _, usage := range s.Components {
		total.HeapBytes += usage.HeapBytes
		total.CPUSeconds += usage.CPUSeconds
		total.MessagesPerSecond += usage.MessagesPerSecond
		total.EncodedBytesPerSecond += usage.EncodedBytesPerSecond
		total.ReadsPerSecond += usage.ReadsPerSecond
		total.WritesPerSecond += usage.WritesPerSecond
		total.OpenWatches += usage.OpenWatches
		total.PlatformBytesPerSecond = total.PlatformBytesPerSecond.add(usage.PlatformBytesPerSecond)
		for dataCentre, bytes := range usage.PeerBytesPerSecond {
			total.PeerBytesPerSecond[dataCentre] = total.PeerBytesPerSecond[dataCentre].add(bytes)
		}
	}

	return total
}

// PeerBytesSentPerSecond returns the bytes that the instance sends to all peers per
// second.
func (s Sample) PeerBytesSentPerSecond() float64 {
	return s.Total().peerBytesSentPerSecond()
}

func (b ByteCounts) add(other ByteCounts) ByteCounts {
	return ByteCounts{Sent: b.Sent + other.Sent, Received: b.Received + other.Received}
}

// Report holds the samples of all sizes, and the lines fitted through them.
type Report struct {
	Seed    uint64   `json:"seed"`
	Samples []Sample `json:"samples"`
	Fits    []Fit    `json:"fits"`
}

// metric is one number of a component, in the unit in which it is reported.
type metric struct {
	name, unit string
	value      func(ComponentUsage) float64
}

// metrics lists the metrics of each component in the order of the report.
var metrics = []metric{
	{"heap", "KB", func(p ComponentUsage) float64 { return p.HeapBytes / 1024 }},
	{"cpu", "ms/s", func(p ComponentUsage) float64 { return p.CPUSeconds * 1000 }},
	{"messages", "1/s", func(p ComponentUsage) float64 { return p.MessagesPerSecond }},
	{"encoded", "B/s", func(p ComponentUsage) float64 { return p.EncodedBytesPerSecond }},
	{"to peers", "B/s", ComponentUsage.peerBytesSentPerSecond},
	{"reads", "1/s", func(p ComponentUsage) float64 { return p.ReadsPerSecond }},
	{"writes", "1/s", func(p ComponentUsage) float64 { return p.WritesPerSecond }},
	{"watches", "", func(p ComponentUsage) float64 { return p.OpenWatches }},
	{"from platform", "B/s", func(p ComponentUsage) float64 { return p.PlatformBytesPerSecond.Received }},
	{"to platform", "B/s", func(p ComponentUsage) float64 { return p.PlatformBytesPerSecond.Sent }},
}

// fitMetrics fits a line to each metric of each component, of the total and of the lease
// holder. It skips metrics that are zero in all samples.
func (r *Report) fitMetrics() {
	scaleFactors := make([]float64, 0, len(r.Samples))
	for _, sample := range r.Samples {
		scaleFactors = append(scaleFactors, sample.ScaleFactor)
	}
	for i := range len(r.Samples[0].Components) + 2 {
		for _, metric := range metrics {
			values := make([]float64, 0, len(scaleFactors))
			name := ""
			for _, sample := range r.Samples {
				usage := append(slices.Clone(sample.Components), sample.Total(), sample.LeaseHolder)[i]
				name = usage.Name
				values = append(values, metric.value(usage))
			}
			if slices.Max(values) > 0 {
				r.Fits = append(r.Fits, fitLine(name+" "+metric.name, metric.unit, scaleFactors, values))
			}
		}
	}
}

// Print writes a table of the metrics and their lines, and a summary of each sample.
func (r Report) Print(output io.Writer) {
	writer := tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(writer, "figure\tunit\t")
	for _, sample := range r.Samples {
		fmt.Fprintf(writer, "at %.3g\t", sample.ScaleFactor)
	}
	fmt.Fprint(writer, "base\tslope\t± error\t\n")
	for _, fit := range r.Fits {
		fmt.Fprintf(writer, "%s\t%s\t", fit.Metric, fit.Unit)
		for _, value := range fit.Values {
			fmt.Fprintf(writer, "%.4g\t", value)
		}
		fmt.Fprintf(writer, "%.3g\t%.3g\t%.2g\t\n", fit.Intercept, fit.Slope, fit.SlopeStandardError)
	}
	_ = writer.Flush()
	r.printPeerTraffic(output)
}

// printPeerTraffic writes a line for each sample with the numbers of homes, endpoints and
// requests, and the bytes sent to peers per second by data centre.
func (r Report) printPeerTraffic(output io.Writer) {
	for _, sample := range r.Samples {
		fmt.Fprintf(output, "at %.3g: asks %d homes for %d endpoints, is home of %d, runs %d requests; bytes/s sent to peers:",
			sample.ScaleFactor, sample.HomeCount, sample.UsedEndpointCount, sample.HomedEndpointCount, sample.RunningRequestCount)
		peerBytes := sample.Total().PeerBytesPerSecond
		for _, dataCentre := range slices.Sorted(maps.Keys(peerBytes)) {
			fmt.Fprintf(output, " %s %.0f", dataCentre, peerBytes[dataCentre].Sent)
		}
		fmt.Fprintln(output)
	}
}

func (b ByteCounts) subtract(other ByteCounts) ByteCounts {
	return ByteCounts{Sent: b.Sent - other.Sent, Received: b.Received - other.Received}
}

// perSecond returns the rates for counts that were taken over a number of seconds.
func (b ByteCounts) perSecond(seconds float64) ByteCounts {
	return ByteCounts{Sent: b.Sent / seconds, Received: b.Received / seconds}
}
