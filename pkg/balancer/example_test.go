package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/balancer"
)

func Example() {
	now := time.Now()
	b := balancer.New(balancer.Settings{DataCentre: "mvd-centro"}, rand.New(rand.NewPCG(1, 2)))
	b.Configure(now, []balancer.Endpoint{
		{Name: "near", Service: "pool", DataCentre: "mvd-centro", Models: []string{"m"}, Slots: 1, TokenCapacity: 1000},
		{Name: "far", Service: "pool", DataCentre: "pde-playa", Models: []string{"m"}, Slots: 1, TokenCapacity: 1000},
	})
	request := balancer.Request{Service: "pool", Model: "m", PromptTokens: 100, TotalTokens: 300}
	for id := range uint64(3) {
		choice, ok := b.Pick(now, request, nil)
		fmt.Println(choice.Endpoint, choice.CrossDataCentre, ok)
		b.RecordStart(now, id, choice.Endpoint, request)
	}
	// Output:
	// near false true
	// far true true
	//  false false
}
