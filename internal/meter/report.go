package meter

import (
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/summarizer"
)

// CountClassError counts a request of a class that ended in an error of the given kind
// instead of a complete answer.
func (m *Meter) CountClassError(class string, kind answerer.Kind) {
	m.CountError(kind)
	m.Add("classes."+class+".refused."+answerer.Lookup(kind).Name, 1)
}

// ClassTotals returns the totals by class since the meter was created. Seconds is not set.
func (m *Meter) ClassTotals() summarizer.Report {
	report := summarizer.Report{Classes: map[string]summarizer.ClassCounts{}, WastedTokens: m.CounterValue("tokens.wasted")}
	m.registry.Each(func(name string, metric any) {
		counter, isCounter := metric.(metrics.Counter)
		rest, isOfClass := strings.CutPrefix(name, "classes.")
		if !isCounter || !isOfClass {
			return
		}
		class, field, _ := strings.Cut(rest, ".")
		counts := report.Classes[class]
		switch field {
		case "served":
			counts.Served = counter.Count()
		case "within":
			counts.WithinTarget = counter.Count()
		case "goodput":
			counts.GoodputTokens = counter.Count()
		}
		if kind, isError := strings.CutPrefix(field, "refused."); isError {
			if counts.ErrorsByKind == nil {
				counts.ErrorsByKind = map[string]int64{}
			}
			counts.ErrorsByKind[kind] = counter.Count()
		}
		report.Classes[class] = counts
	})

	return report
}
