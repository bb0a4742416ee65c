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

// MaxLate is how late a request may be sent for a run to be a measurement.
const MaxLate = 50 * time.Millisecond

// IsValidMeasurement reports whether the loader kept to its times.
func (r Report) IsValidMeasurement() bool {
	return r.LongestSendDelay <= MaxLate
}

// HasNoCorruptAnswers reports whether no answer passed for whole that was not.
func (r Report) HasNoCorruptAnswers() bool {
	return !slices.ContainsFunc(r.Classes, func(c ClassSummary) bool { return c.Truncated > 0 || c.Garbled > 0 })
}

// Print writes the report as a table.
func (r Report) Print(output io.Writer) {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "class\tsent\twhole\twithin target\tgoodput tokens\tfirst token p50\tp95\tp99\tlongest wait\tnot run\tpartial\tunknown\tbroken\ttruncated\tgarbled\tresends")
	for _, c := range r.Classes {
		fmt.Fprintf(table, "%s\t%d\t%d\t%.1f%%\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n",
			c.ClassName, c.Sent, c.Complete, 100*c.TargetAttainment(), c.GoodputTokens,
			round(c.FirstToken.P50), round(c.FirstToken.P95), round(c.FirstToken.P99), round(c.LongestWait),
			FormatCounts(c.RefusedByKind), FormatCounts(c.PartialByKind), FormatCounts(c.UnknownByKind), c.BrokenConnections, c.Truncated, c.Garbled, c.Resends)
	}
	_ = table.Flush()
	fmt.Fprintf(output, "elapsed %s, sent late by at most %s\n", round(r.Elapsed), round(r.LongestSendDelay))
	if !r.IsValidMeasurement() {
		fmt.Fprintf(output, "no measurement: the loader was more than %s late\n", MaxLate)
	}
}

func round(d time.Duration) time.Duration {
	return d.Round(time.Millisecond)
}

// FormatCounts lists counts by kind, in the order of the kinds.
func FormatCounts(counts map[string]int) string {
	list := make([]string, 0, len(counts))
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, fmt.Sprintf("%s %d", kind, counts[kind]))
	}
	if len(list) == 0 {
		return "none"
	}

	return strings.Join(list, ", ")
}
