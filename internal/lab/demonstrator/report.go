package demonstrator

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/oleanderpick/oleanderpick/internal/lab/deployer"
	"github.com/oleanderpick/oleanderpick/internal/lab/loader"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

// Report is what a demo found.
type Report struct {
	// Callers is what the callers saw.
	Callers loader.Report `json:"callers"`
	// Made is the number of tokens that the engines made, Received the
	// number that reached a caller.
	Made     int `json:"made"`
	Received int `json:"received"`
	// Retries counts the routers' decisions after failures, by reason.
	Retries map[string]int64 `json:"retries"`
	// RunTwice are the keys of non-idempotent calls that ran more than once.
	RunTwice []string `json:"runTwice"`
	// ToldNotRun are the keys of calls that ran though a caller was told
	// that they did not.
	ToldNotRun []string `json:"toldNotRun"`
}

func newReport(deployment *deployer.Deployment, callers loader.Report) Report {
	report := Report{Callers: callers, Retries: map[string]int64{}}
	for _, engine := range deployment.Engines {
		report.Made += engine.Audit().GeneratedTokens
	}
	for _, class := range callers.Classes {
		report.Received += class.Received
	}
	for _, router := range deployment.Routers {
		for _, reason := range retrier.Reasons() {
			report.Retries[reason] += router.Meter().CounterValue(reason)
		}
	}

	runs := map[string]int{}
	for _, service := range deployment.Services {
		for key, count := range service.Audit().RunsByKey {
			runs[key] += count
		}
	}
	for key, count := range runs {
		if count > 1 {
			report.RunTwice = append(report.RunTwice, key)
		}
	}
	sort.Strings(report.RunTwice)
	for _, key := range callers.NotRun {
		if runs[key] > 0 {
			report.ToldNotRun = append(report.ToldNotRun, key)
		}
	}

	return report
}

// Wasted returns the share of the tokens made that reached no caller.
func (r Report) Wasted() float64 {
	if r.Made == 0 {
		return 0
	}

	return max(0, 1-float64(r.Received)/float64(r.Made))
}

// Sound reports whether every answer was whole or said that it was not, no
// non-idempotent call ran twice, and none ran that was reported as not run.
func (r Report) Sound() bool {
	for _, class := range r.Callers.Classes {
		if class.Truncated > 0 || class.Garbled > 0 {
			return false
		}
	}

	return len(r.RunTwice) == 0 && len(r.ToldNotRun) == 0
}

// Print writes the report as a table.
func (r Report) Print(output io.Writer) {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "class\tsent\twhole\twithin target\tgoodput tokens\tfirst token p95\tlongest wait\tnot run\tpartial\tunknown\tconnection lost")
	for _, class := range r.Callers.Classes {
		fmt.Fprintf(table, "%s\t%d\t%d\t%.1f%%\t%d\t%s\t%s\t%s\t%s\t%s\t%d\n",
			class.Class, class.Sent, class.Whole, 100*class.Attainment(), class.Goodput,
			class.FirstToken.P95.Round(1e6), class.LongestWait.Round(1e6),
			counts(class.Refused), counts(class.Partial), counts(class.Unknown), class.Broken)
	}
	_ = table.Flush()
	fmt.Fprintf(output, "tokens made %d, received %d, wasted %.2f%%\n", r.Made, r.Received, 100*r.Wasted())
	fmt.Fprintf(output, "decisions after failures: %s\n", counts(r.Retries))
	fmt.Fprintf(output, "non-idempotent calls run twice: %d, told not run that ran: %d\n", len(r.RunTwice), len(r.ToldNotRun))
}

// counts lists the counts that are not zero by name.
func counts[Count int | int64](values map[string]Count) string {
	names := []string{}
	for name, count := range values {
		if count != 0 {
			names = append(names, fmt.Sprintf("%s %d", name, count))
		}
	}
	if len(names) == 0 {
		return "0"
	}
	sort.Strings(names)

	return strings.Join(names, ", ")
}
