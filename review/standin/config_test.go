package standin

import (
	"encoding/json"
	"strconv"
)

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

type object = map[string]any

// route returns a route of the operator's configuration.
func route(name, prefix, kind, service string, timeoutMs int, more object) object {
	out := object{
		"name": name, "host": host, "path-prefix": prefix, "kind": kind, "service": service, "timeout-ms": timeoutMs,
		"target-latency-ms": 300, "max-attempts": 1, "priority": 2, "public": false,
	}
	for k, v := range more {
		out[k] = v
	}
	return out
}

// config returns a configuration as the operator writes it to op/config.
func config(version int, routes, services, tenants []object) []byte {
	out, _ := json.Marshal(object{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": object{"max-header-bytes": 32768, "max-body-bytes": 4194304, "header-timeout-ms": 2000, "idle-timeout-ms": 10000},
	})
	return out
}
