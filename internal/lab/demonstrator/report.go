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

// Report holds the results of a demo.
type Report struct {
	// CallerReport is the loader's report of the answers that callers received.
	CallerReport loader.Report `json:"callers"`
	// GeneratedTokens is the number of tokens that the engines generated,
	// ReceivedTokens the number that reached a caller.
	GeneratedTokens int `json:"made"`
	ReceivedTokens  int `json:"received"`
	// RetryDecisions counts the routers' decisions after failures, whether they retried
	// or not, by reason.
	RetryDecisions map[string]int64 `json:"retries"`
	// KeysRunTwice are the idempotency keys of non-idempotent calls that ran more than
	// once.
	KeysRunTwice []string `json:"runTwice"`
	// KeysWronglyReportedNotRun are the keys of calls that ran although the answer
	// said that they had not.
	KeysWronglyReportedNotRun []string `json:"toldNotRun"`
}

// newReport sums the counters of the deployment and compares the calls that ran with
// the answers that their callers received.
func newReport(deployment *deployer.Deployment, callerReport loader.Report) Report {
	report := Report{CallerReport: callerReport, RetryDecisions: map[string]int64{}}
	for _, engine := range deployment.Engines {
		report.GeneratedTokens += engine.Audit().GeneratedTokens
	}
	for _, class := range callerReport.Classes {
		report.ReceivedTokens += class.ReceivedTokens
	}
	for _, router := range deployment.Routers {
		for _, reason := range retrier.Reasons() {
			report.RetryDecisions[reason] += router.Meter().CounterValue(reason)
		}
	}

	runsByKey := map[string]int{}
	for _, service := range deployment.PlainEndpoints {
		for key, count := range service.Audit().RunsByKey {
			runsByKey[key] += count
		}
	}
	for key, count := range runsByKey {
		if count > 1 {
			report.KeysRunTwice = append(report.KeysRunTwice, key)
		}
	}
	sort.Strings(report.KeysRunTwice)
	for _, key := range callerReport.BookingKeysNotRun {
		if runsByKey[key] > 0 {
			report.KeysWronglyReportedNotRun = append(report.KeysWronglyReportedNotRun, key)
		}
	}

	return report
}

// WastedFraction returns the fraction of generated tokens that reached no caller.
func (r Report) WastedFraction() float64 {
	if r.GeneratedTokens == 0 {
		return 0
	}

	return max(0, 1-float64(r.ReceivedTokens)/float64(r.GeneratedTokens))
}

// IsCorrect reports whether all answers were correct: each was complete or marked as
// incomplete, no non-idempotent call ran twice, and no call ran that was reported as not
// run.
func (r Report) IsCorrect() bool {
	for _, class := range r.CallerReport.Classes {
		if class.Truncated > 0 || class.Garbled > 0 {
			return false
		}
	}

	return len(r.KeysRunTwice) == 0 && len(r.KeysWronglyReportedNotRun) == 0
}

// Print writes the report as a table.
func (r Report) Print(output io.Writer) {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "class\tsent\twhole\twithin target\tgoodput tokens\tfirst token p95\tlongest wait\tnot run\tpartial\tunknown\tconnection lost")
	for _, class := range r.CallerReport.Classes {
		fmt.Fprintf(table, "%s\t%d\t%d\t%.1f%%\t%d\t%s\t%s\t%s\t%s\t%s\t%d\n",
			class.ClassName, class.Sent, class.Complete, 100*class.TargetAttainment(), class.GoodputTokens,
			class.FirstToken.P95.Round(1e6), class.LongestWait.Round(1e6),
			formatCounts(class.RefusedByKind), formatCounts(class.PartialByKind), formatCounts(class.UnknownByKind), class.BrokenConnections)
	}
	_ = table.Flush()
	fmt.Fprintf(output, "tokens made %d, received %d, wasted %.2f%%\n", r.GeneratedTokens, r.ReceivedTokens, 100*r.WastedFraction())
	fmt.Fprintf(output, "decisions after failures: %s\n", formatCounts(r.RetryDecisions))
	fmt.Fprintf(output, "non-idempotent calls run twice: %d, told not run that ran: %d\n", len(r.KeysRunTwice), len(r.KeysWronglyReportedNotRun))
}

// formatCounts lists the names with their counts, less those that are zero.
func formatCounts[Count int | int64](values map[string]Count) string {
	items := []string{}
	for name, count := range values {
		if count != 0 {
			items = append(items, fmt.Sprintf("%s %d", name, count))
		}
	}
	if len(items) == 0 {
		return "0"
	}
	sort.Strings(items)

	return strings.Join(items, ", ")
}
