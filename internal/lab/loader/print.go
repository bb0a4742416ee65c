package loader

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// MaxSendDelay is the longest delay of a sending after its scheduled time at which a run
// still counts as a measurement.
const MaxSendDelay = 50 * time.Millisecond

// IsValidMeasurement reports whether every request was sent at most MaxSendDelay after
// its scheduled time.
func (r Report) IsValidMeasurement() bool {
	return r.LongestSendDelay <= MaxSendDelay
}

// HasNoCorruptAnswers reports whether no answer was truncated or garbled. A truncated one
// would pass as complete.
func (r Report) HasNoCorruptAnswers() bool {
	return !slices.ContainsFunc(r.Classes, func(c ClassSummary) bool { return c.Truncated > 0 || c.Garbled > 0 })
}

// Print writes the report as a table, and says so if the run is no valid measurement.
func (r Report) Print(output io.Writer) {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "class\tsent\twhole\twithin target\tgoodput tokens\tfirst token p50\tp95\tp99\tlongest wait\tnot run\tpartial\tunknown\tbroken\ttruncated\tgarbled\tresends")
	for _, c := range r.Classes {
		fmt.Fprintf(table, "%s\t%d\t%d\t%.1f%%\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n",
			c.ClassName, c.Sent, c.Complete, 100*c.TargetAttainment(), c.GoodputTokens,
			roundToMillisecond(c.FirstToken.P50), roundToMillisecond(c.FirstToken.P95), roundToMillisecond(c.FirstToken.P99), roundToMillisecond(c.LongestWait),
			FormatCounts(c.RefusedByKind), FormatCounts(c.PartialByKind), FormatCounts(c.UnknownByKind), c.BrokenConnections, c.Truncated, c.Garbled, c.Resends)
	}
	_ = table.Flush()
	fmt.Fprintf(output, "elapsed %s, sent late by at most %s\n", roundToMillisecond(r.Elapsed), roundToMillisecond(r.LongestSendDelay))
	if !r.IsValidMeasurement() {
		fmt.Fprintf(output, "no measurement: the loader was more than %s late\n", MaxSendDelay)
	}
}

func roundToMillisecond(d time.Duration) time.Duration {
	return d.Round(time.Millisecond)
}

// FormatCounts returns the counts as text, such as "expired 2, full 1", sorted by kind, or "none".
func FormatCounts(counts map[string]int) string {
	items := make([]string, 0, len(counts))
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		items = append(items, fmt.Sprintf("%s %d", kind, counts[kind]))
	}
	if len(items) == 0 {
		return "none"
	}

	return strings.Join(items, ", ")
}
