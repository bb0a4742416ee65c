package loader

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// plainServiceDeadline is the deadline of bookings and quotes.
const plainServiceDeadline = 20 * time.Second

// ParseRequestMix parses a text of class weights, such as "chat=0.8,booking=0.2". It
// returns the standard request mix with only the named classes and their weights. The
// classes booking and quote, calls to a plain service, may be named too. It returns an
// error for a class that is unknown or named twice, and for a weight that isn't a number
// above 0.
func ParseRequestMix(text string) (RequestMix, error) {
	mix := StandardRequestMix()
	knownClasses := append(slices.Clone(mix.Classes),
		Class{Name: "booking", RequestType: Booking, Deadline: plainServiceDeadline},
		Class{Name: "quote", RequestType: Quote, Deadline: plainServiceDeadline},
	)
	mix.Classes = nil
	for _, entry := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(entry, "=")
		weight, err := strconv.ParseFloat(value, 64)
		if err != nil || !(weight > 0) || weight > 1e6 {
			return RequestMix{}, errors.Errorf("class %q: its share is not a number above 0", name)
		}
		class, err := findClass(knownClasses, name)
		if err != nil {
			return RequestMix{}, err
		}
		if _, err := findClass(mix.Classes, name); err == nil {
			return RequestMix{}, errors.Errorf("class %q is named twice", name)
		}
		class.Weight = weight
		mix.Classes = append(mix.Classes, class)
	}

	return mix, nil
}

// findClass returns the class of a name, or an error if there is none.
func findClass(classes []Class, name string) (Class, error) {
	for _, class := range classes {
		if class.Name == name {
			return class, nil
		}
	}

	return Class{}, errors.Errorf("no class %q", name)
}
