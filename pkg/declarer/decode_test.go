package declarer_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

func ExampleValidate() {
	set, problems := declarer.Validate([]declarer.Resource{
		{Kind: declarer.KindServiceClass, Name: "chat", Spec: json.RawMessage(`{"tier": 0, "firstToken": "360ms"}`)},
		{Kind: declarer.KindWorkspace, Name: "clinic", Spec: json.RawMessage(`{"classes": ["chat"]}`)},
		{Kind: declarer.KindWorkspace, Name: "hotel", Spec: json.RawMessage(`{"classes": ["chatt"]}`)},
	})
	for _, workspace := range set.WorkspaceList() {
		fmt.Println(workspace.Name, workspace.DefaultClass, set.Classes[workspace.DefaultClass].FirstTokenTarget)
	}
	for _, problem := range problems {
		fmt.Println(problem)
	}
	// Output:
	// clinic chat 360ms
	// Workspace/hotel: classes: ServiceClass "chatt" does not exist
}

// decodeCases are the inputs and results of Decode: a kind, a spec, and "ok" or the
// problems as "FIELD: REASON", separated by "|".
var decodeCases = []struct{ kind, spec, want string }{
	{"ServiceClass", `{"tier":0}`, "ok"},
	{"ServiceClass", `{"tier":5}`, "tier: 5 is not between 0 and 4"},
	{"ServiceClass", `{"tier":"high"}`, `tier: "high": a JSON string does not fit, want a whole number`},
	{"ServiceClass", `{"tier":1,"firstToken":360}`, `firstToken: 360: 360 is not a duration in quotes such as "360ms"`},
	{"ServiceClass", `{"tier":1,"whole":"2m"}`, "whole: 2m0s is longer than the deadline 1m0s"},
	{"ServiceClass", `{"tier":1,"floor":"0s"}`, "floor: 0s is not longer than 0s"},
	{"ServiceClass", `{"tier":1,"floor":"-3s"}`, "floor: -3s is not between 0s and 24h0m0s"},
	{"ServiceClass", `{"share":1.5}`, "share: 1.5 is not between 0 and 1"},
	{"ServiceClass", `{"Tiers":1,"speed":2}`, "Tiers: 1: unknown field|speed: 2: unknown field"},
	{"ServiceClass", `[1]`, "spec is not a JSON object: a JSON array does not fit, want an object"},
	{"ServiceClass", `{"tier":1} {}`, "spec is not a JSON object: there is data after the end of the object"},
	{"ServiceClass", ``, "spec is not a JSON object: EOF"},
	{"Workspace", `{"classes":["a"],"digests":["` + strings.Repeat("0f", 32) + `"]}`, "ok"},
	{"Workspace", `{"classes":[]}`, "classes: the list is empty, at least one class is needed|default: \"\" is not one of classes []"},
	{"Workspace", `{"classes":["a","a"]}`, `classes: "a" stands in the list twice`},
	{"Workspace", `{"classes":["a"],"default":"b"}`, `default: "b" is not one of classes ["a"]`},
	{"Workspace", `{"classes":["a"],"digests":["ABC"]}`, `digests: "ABC" is not a SHA-256 sum of 64 digits in lower-case hex`},
	{"Workspace", `{"classes":["a"],"parallel":-1,"rate":-2}`, "parallel: -1 is less than 0|rate: -2 is less than 0"},
	{"Service", `{"kind":"model","models":["ink-8b"]}`, "ok"},
	{"Service", `{"kind":"model"}`, "models: the list is empty, a model service needs at least one model"},
	{"Service", `{"kind":"plain","models":["m"]}`, `models: ["m"]: a plain service has no models`},
	{"Service", `{"kind":"disk"}`, `kind: "disk" is not one of ["model" "plain"]`},
	{"Service", `{"kind":"plain","idempotent":["get","PUT notes"]}`, `idempotent: "get" does not begin with a method in capitals|idempotent: "PUT notes" has a path that does not begin with '/'`},
	{"Endpoint", `{"service":"s","address":"http://10.0.0.7:8000","dataCentre":"mvd-centro"}`, "ok"},
	{"Endpoint", `{"service":"s","address":"http://[fd00::7]:8000","dataCentre":"mvd-centro"}`, "ok"},
	{"Endpoint", `{"service":"s","address":"http://host:8000","dataCentre":"a"}`, `address: "http://host:8000": the host is not an IP number and a port`},
	{"Endpoint", `{"service":"s","address":"ftp://10.0.0.7:80","dataCentre":"a"}`, `address: "ftp://10.0.0.7:80": the scheme is not http or https`},
	{"Endpoint", `{"service":"s","address":"http://10.0.0.7:80/v1","dataCentre":"a"}`, `address: "http://10.0.0.7:80/v1": only a scheme, an IP number and a port are allowed`},
	{"Endpoint", `{"service":"s","address":"http://10.0.0.7:80","dataCentre":"","slots":0,"state":"gone"}`, `slots: 0 is less than 1|state: "gone" is not one of ["" "leaving"]|dataCentre: "" is not the name of a data centre`},
	{"PlannedChange", `{"endpoints":["e"],"role":"decode"}`, "ok"},
	{"PlannedChange", `{"endpoints":[],"role":"x"}`, `endpoints: the list is empty, at least one endpoint is needed|role: "x" is not one of ["" "both" "prefill" "decode"]`},
	{"PlannedChange", `{"endpoints":["e"]}`, "none of model, version, adapter and role is given"},
	{"PlannedChange", `{"endpoints":["e"],"model":"a b","after":"x"}`, `model: "a b" is not a name of letters, digits, '.', '_', ':', '/' and '-'|after: "x" is the change itself`},
	{"Gateway", `{}`, `kind: "Gateway" is not one of ServiceClass, Workspace, Service, Endpoint, PlannedChange`},
}

func TestDecodeReturnsValueOrExactProblems(t *testing.T) {
	for _, tc := range decodeCases {
		value, problems := declarer.Decode(declarer.Resource{Kind: tc.kind, Name: "x", Spec: json.RawMessage(tc.spec)})
		var lines []string
		for _, problem := range problems {
			assert.Equal(t, problem.Key(), declarer.Key{Kind: tc.kind, Name: "x"})
			lines = append(lines, strings.TrimPrefix(problem.Field+": "+problem.Reason, ": "))
		}
		if tc.want == "ok" {
			assert.Equal(t, len(lines), 0, "%s %s: %v", tc.kind, tc.spec, lines)
			assert.Assert(t, value != nil)
			continue
		}
		assert.Equal(t, strings.Join(lines, "|"), tc.want, "%s %s", tc.kind, tc.spec)
		assert.Assert(t, value == nil)
	}
}

func TestDecodeAppliesDefaultsAndRejectsBadNamesAndSizes(t *testing.T) {
	endpoint, _ := declarer.Decode(declarer.Resource{Kind: "Endpoint", Name: "e", Spec: json.RawMessage(`{"service":"s","address":"http://10.0.0.7:1","dataCentre":"d","state":"leaving"}`)})
	assert.Equal(t, endpoint.(declarer.Endpoint).Slots, declarer.DefaultSlots)
	assert.Assert(t, endpoint.(declarer.Endpoint).IsLeaving())
	class, _ := declarer.Decode(declarer.Resource{Kind: "ServiceClass", Name: "c", Spec: json.RawMessage(`{"share":0}`)})
	assert.Equal(t, class.(declarer.ServiceClass).MaxRetryRatio, 0.0, "a zero that is written out is no default")
	assert.Equal(t, class.(declarer.ServiceClass).GuaranteedWait.AsDuration(), declarer.DefaultGuaranteedWait)
	for _, name := range []string{"", "Chat", "../x", "a b", "-a", strings.Repeat("a", 129)} {
		_, problems := declarer.Decode(declarer.Resource{Kind: "ServiceClass", Name: name, Spec: json.RawMessage(`{}`)})
		assert.Equal(t, len(problems), 1, name)
		assert.Equal(t, problems[0].Field, "name")
	}
	_, problems := declarer.Decode(declarer.Resource{Kind: "ServiceClass", Name: "c", Spec: json.RawMessage(`{"tier":0` + strings.Repeat(" ", declarer.MaxSpecBytes) + `}`)})
	assert.Equal(t, problems[0].Reason, "spec of 65546 bytes is over the limit of 65536 bytes")
	_, problems = declarer.DecodeAccepted(declarer.Resource{Kind: "ServiceClass", Name: "c", Spec: json.RawMessage(`{"tier":0,"later":1}`)})
	assert.Equal(t, len(problems), 0, "an accepted form of a later version is read")
}

func TestDecodeLimitsProblemCountAndReasonLength(t *testing.T) {
	fields := make([]string, 0, 5000)
	for i := range 5000 {
		fields = append(fields, fmt.Sprintf(`"f%d":1`, i))
	}
	_, problems := declarer.Decode(declarer.Resource{Kind: "ServiceClass", Name: "c", Spec: json.RawMessage("{" + strings.Join(fields, ",") + "}")})
	assert.Equal(t, len(problems), declarer.MaxProblems)
	_, problems = declarer.Decode(declarer.Resource{Kind: "Workspace", Name: "w", Spec: json.RawMessage(`{"classes":["c"],"default":"` + strings.Repeat("x", 60000) + `"}`)})
	assert.Assert(t, len(problems[0].Reason) <= declarer.MaxReasonBytes+3)
}

func TestIdempotentCallsMatchByMethodAndPathPrefix(t *testing.T) {
	service := declarer.Service{IdempotentCalls: []string{"GET", "PUT /notes", "POST /quotes/"}}
	for call, isIdempotent := range map[string]bool{
		"GET /bookings": true, "PUT /notes": true, "PUT /notes/7": true, "PUT /notesome": false,
		"POST /bookings": false, "POST /quotes": true, "POST /quotes/1": true, "DELETE /notes": false, "get /x": false,
	} {
		method, path, _ := strings.Cut(call, " ")
		assert.Equal(t, service.IsIdempotent(method, path), isIdempotent, call)
	}
}
