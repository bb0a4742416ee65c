package meter

import (
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/summarizer"
)

// CountClassError counts an answer of a class that was not a complete one.
func (m *Meter) CountClassError(class string, kind answerer.Kind) {
	m.CountError(kind)
	m.Add("classes."+class+".refused."+answerer.Lookup(kind).Name, 1)
}

// ClassTotals returns the totals by class since the start.
func (m *Meter) ClassTotals() summarizer.Report {
	report := summarizer.Report{Classes: map[string]summarizer.ClassCounts{}, WastedTokens: m.CounterValue("tokens.wasted")}
	m.registry.Each(func(name string, metric any) {
		counter, ok := metric.(metrics.Counter)
		rest, found := strings.CutPrefix(name, "classes.")
		if !ok || !found {
			return
		}
		class, field, _ := strings.Cut(rest, ".")
		count := report.Classes[class]
		switch field {
		case "served":
			count.Served = counter.Count()
		case "within":
			count.WithinTarget = counter.Count()
		case "goodput":
			count.GoodputTokens = counter.Count()
		}
		if kind, refused := strings.CutPrefix(field, "refused."); refused {
			if count.ErrorsByKind == nil {
				count.ErrorsByKind = map[string]int64{}
			}
			count.ErrorsByKind[kind] = counter.Count()
		}
		report.Classes[class] = count
	})

	return report
}
