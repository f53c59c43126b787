package pollenspindle

import (
	"fmt"
	"strings"
)

func (v *validation) checkServices(services []Service) {
	if len(services) == 0 {
		v.add("services", "must name at least one service")
	}
	taken := map[string]string{}
	for i, s := range services {
		path := fmt.Sprintf("services[%d]", i)
		v.checkName(path+".name", s.Name)
		v.checkUnique(taken, path+".name", s.Name)
		v.checkOneOf(path+".kind", string(s.Kind), string(ServiceGeneration), string(ServicePlain))
		v.checkRange(path+".timeoutSeconds", s.TimeoutSeconds, 0, maxTimeoutSeconds, "seconds")
		v.checkRange(path+".queueSeconds", s.QueueSeconds, 0, maxQueueSeconds, "seconds")
		v.checkRange(path+".patientQueueSeconds", s.PatientQueueSeconds, 0, maxQueueSeconds, "seconds")
		v.checkRange(path+".tokenIntervalTargetMillis", s.TokenIntervalTargetMillis, 0, maxTokenIntervalMillis, "milliseconds")
		v.checkRoutes(path+".routes", s)
		v.services[s.Name] = s
	}
}

func (v *validation) checkRoutes(path string, s Service) {
	switch {
	case s.Kind == ServiceGeneration && len(s.Routes) > 0:
		v.add(path, "must be absent: a generation service has fixed routes")
		return
	case s.Kind == ServicePlain && len(s.Routes) == 0:
		v.add(path, "must name at least one route: a request that matches none is refused")
	}
	taken := map[string]string{}
	for i, route := range s.Routes {
		at := fmt.Sprintf("%s[%d]", path, i)
		v.checkOneOf(at+".method", route.Method, routeMethods...)
		if !strings.HasPrefix(route.PathPrefix, "/") || strings.ContainsAny(route.PathPrefix, "?#% ") {
			v.add(at+".pathPrefix", "must begin with / and hold no query, escape or space")
		}
		// With duplicate routes it would be ambiguous whether the call may be retried.
		v.checkUnique(taken, at+".pathPrefix", route.Method+" "+route.PathPrefix)
	}
}

func (v *validation) checkServers(servers []Server) {
	if len(servers) == 0 {
		v.add("servers", "must name at least one backend server")
	}
	names, addresses := map[string]string{}, map[string]string{}
	for i, s := range servers {
		path := fmt.Sprintf("servers[%d]", i)
		v.checkName(path+".name", s.Name)
		v.checkUnique(names, path+".name", s.Name)
		if _, ok := v.zones[s.Zone]; !ok {
			v.add(path+".zone", "%q is not a declared availability zone", s.Zone)
		}
		if !isAddress(s.Address) {
			v.add(path+".address", "must be host:port with an IP number and a port from 1 to 65535")
		}
		v.checkUnique(addresses, path+".address", s.Address)
		if s.State != "" {
			v.checkOneOf(path+".state", string(s.State), string(ServerInService), string(ServerDraining))
		}
		v.checkLimits(path, s)
		v.checkKind(path, s)
	}
}

// checkLimits checks the capacity of a backend server. A cold limit above the
// warm limit means that the two are swapped, which would overload the backend
// server after each start.
func (v *validation) checkLimits(path string, s Server) {
	v.checkRange(path+".coldLimit", s.ColdLimit, 1, maxConcurrentRequests, "requests")
	v.checkRange(path+".warmLimit", s.WarmLimit, 1, maxConcurrentRequests, "requests")
	if s.ColdLimit > s.WarmLimit {
		v.add(path+".coldLimit", "must not be above warmLimit (%d)", s.WarmLimit)
	}
}

// checkKind checks the fields that only one kind of service has.
func (v *validation) checkKind(path string, s Server) {
	service, ok := v.services[s.Service]
	switch {
	case !ok:
		v.add(path+".service", "%q is not a declared service", s.Service)
	case service.Kind == ServiceGeneration:
		v.checkEngine(path, s)
	case service.Kind == ServicePlain:
		v.checkPlain(path, s)
	}
}

func (v *validation) checkEngine(path string, s Server) {
	v.checkRange(path+".memoryTokens", s.MemoryTokens, 1, maxMemoryTokens, "tokens")
	v.checkOneOf(path+".fencing", string(s.Fencing), string(FencingChecked), string(FencingIgnored))
	if len(s.Models) == 0 {
		v.add(path+".models", "must name at least one model")
	}
	taken := map[string]string{}
	for i, name := range s.Models {
		at := fmt.Sprintf("%s.models[%d]", path, i)
		v.checkUnique(taken, at, name)
		model, ok := v.models[name]
		switch {
		case !ok:
			v.add(at, "%q is not a declared model", name)
		case model.Service != s.Service:
			v.add(at, "%q belongs to service %q", name, model.Service)
		}
	}
}

func (v *validation) checkPlain(path string, s Server) {
	if len(s.Models) > 0 {
		v.add(path+".models", "must be absent: %q is a plain service", s.Service)
	}
	if s.MemoryTokens != 0 {
		v.add(path+".memoryTokens", "must be absent: %q is a plain service", s.Service)
	}
	if s.Fencing != "" {
		v.add(path+".fencing", "must be absent: %q is a plain service", s.Service)
	}
}
