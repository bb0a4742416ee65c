package main

import (
	"encoding/json"
	"fmt"
)

// service is the name of the only service, callerHost the host of its routes, and callerKey an API key of
// its tenant.
const (
	service    = "svc-a"
	callerHost = "a.example"
	callerKey  = "xd9dnn2ctnfzs989anu6"
)

// route returns a route to the service at the host a.example.
func route(name, prefix, kind string, timeoutMs, maxAttempts int) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":%q,"kind":%q,"timeout_ms":%d,"goal_ms":300,"priority":1,"service":%q,
		"max_attempts":%d,"public":false,"sticky":false,"can_resume":false}`, name, callerHost, prefix, kind, timeoutMs, service, maxAttempts)
}

// configuration returns what the operator writes: a tenant with some keys, and the limits of the pages'
// example.
func configuration(version int, routes string, keys ...string) string {
	encodedKeys, err := json.Marshal(keys)
	if err != nil {
		panic(err) // Texts can be encoded.
	}

	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q,"health_path":"/health","max_conns":100,"protocol":"h1","tls":false}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
		"tenants":[{"name":"tenant-a","api_keys":%s,"priority":1}]}`, version, routes, service, encodedKeys)
}
