package loader

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// plainDeadline is the deadline of calls to a plain service.
const plainDeadline = 20 * time.Second

// ParseRequestMix returns the standard mix with the shares that a text such as
// "chat=0.8,booking=0.2" names; classes that it does not name are left out.
// Bookings and quotes are calls to a plain service.
func ParseRequestMix(text string) (RequestMix, error) {
	mix := StandardRequestMix()
	known := append(slices.Clone(mix.Classes),
		Class{Name: "booking", RequestType: Booking, Deadline: plainDeadline},
		Class{Name: "quote", RequestType: Quote, Deadline: plainDeadline},
	)
	mix.Classes = nil
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		share, err := strconv.ParseFloat(value, 64)
		if err != nil || !(share > 0) || share > 1e6 {
			return RequestMix{}, errors.Errorf("class %q: its share is not a number above 0", name)
		}
		class, err := named(known, name)
		if err != nil {
			return RequestMix{}, err
		}
		if _, err := named(mix.Classes, name); err == nil {
			return RequestMix{}, errors.Errorf("class %q is named twice", name)
		}
		class.Weight = share
		mix.Classes = append(mix.Classes, class)
	}

	return mix, nil
}

func named(classes []Class, name string) (Class, error) {
	for _, class := range classes {
		if class.Name == name {
			return class, nil
		}
	}

	return Class{}, errors.Errorf("no class %q", name)
}
