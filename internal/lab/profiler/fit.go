package profiler

import "math"

// Fit is a straight line through the values of one metric at several scale factors.
type Fit struct {
	// Metric is the name of the component and of its metric, Unit the unit of the values.
	Metric string `json:"figure"`
	Unit   string `json:"unit"`
	// Values are the measured values, in the order of the scale factors.
	Values []float64 `json:"values"`
	// Intercept is the value of the line at scale factor 0. Slope is the increase from
	// scale factor 0 to 1, which is the full plan.
	Intercept float64 `json:"base"`
	Slope     float64 `json:"slope"`
	// SlopeStandardError is the standard error of Slope. It is 0 with fewer than three
	// values.
	SlopeStandardError float64 `json:"error"`
}

// fitLine fits a line to the values by least squares. If all scale factors are equal, the
// slope is 0 and the intercept is the mean.
func fitLine(metric, unit string, scaleFactors, values []float64) Fit {
	fit := Fit{Metric: metric, Unit: unit, Values: values}
	count := float64(len(scaleFactors))
	meanScaleFactor, meanValue := mean(scaleFactors), mean(values)
	sumSquaredDeviations, sumDeviationProducts := 0.0, 0.0
	for i, scaleFactor := range scaleFactors {
		sumSquaredDeviations += (scaleFactor - meanScaleFactor) * (scaleFactor - meanScaleFactor)
		sumDeviationProducts += (scaleFactor - meanScaleFactor) * (values[i] - meanValue)
	}
	if sumSquaredDeviations == 0 {
		fit.Intercept = meanValue

		return fit
	}
	fit.Slope = sumDeviationProducts / sumSquaredDeviations
	fit.Intercept = meanValue - fit.Slope*meanScaleFactor
	if len(scaleFactors) < 3 {
		return fit
	}
	sumSquaredResiduals := 0.0
	for i, scaleFactor := range scaleFactors {
		residual := values[i] - fit.Intercept - fit.Slope*scaleFactor
		sumSquaredResiduals += residual * residual
	}
	fit.SlopeStandardError = math.Sqrt(sumSquaredResiduals / (count - 2) / sumSquaredDeviations)

	return fit
}

// mean returns the arithmetic mean of at least one value.
func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}

	return sum / float64(len(values))
}
