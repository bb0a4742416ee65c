package main

import "fmt"

// service is the name of the only service, and callerKey the API key of its tenant.
const (
	service   = "svc-a"
	callerKey = "xd9dnn2ctnfzs989anu6"
)

// route returns a route to the service.
func route(name, host, prefix, kind string, timeoutMs int) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":%q,"kind":%q,"timeout_ms":%d,"goal_ms":300,"priority":1,"service":%q,
		"max_attempts":2,"public":false,"sticky":false,"can_resume":false}`, name, host, prefix, kind, timeoutMs, service)
}

// configuration returns what the operator writes: the limits are those of the pages' example.
func configuration(version int, routes string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q,"health_path":"/health","max_conns":100,"protocol":"h1","tls":false}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
		"tenants":[{"name":"tenant-a","api_keys":[%q],"priority":1}]}`, version, routes, service, callerKey)
}
