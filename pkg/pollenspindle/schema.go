package pollenspindle

import (
	"pollenspindle.example/pollenspindle/internal/fieldschema"
)

// Schema returns the JSON Schema of a configuration, indented, for programs in
// other languages that print one. It covers the constraints of single fields;
// references between objects are checked by [Parse] only.
func Schema() ([]byte, error) {
	fields := map[string]fieldschema.Field{}
	for _, part := range []map[string]fieldschema.Field{
		deploymentFields(), serviceFields(), serverFields(), workspaceFields(),
	} {
		for key, field := range part {
			fields[key] = field
		}
	}
	return fieldschema.Print(&Config{}, "Configuration of a deployment", fields)
}

func deploymentFields() map[string]fieldschema.Field {
	name := namePattern.String()
	return map[string]fieldschema.Field{
		"Config.deployment": {Required: true, Pattern: name, Description: "Name of the deployment. No unit."},
		"Config.limits":     {Description: "Bounds of what one caller may send."},
		"Config.zones":      {Required: true, NonEmpty: true, Description: "Availability zones."},
		"Config.services":   {Required: true, NonEmpty: true, Description: "Services."},
		"Config.models":     {Description: "Models that generation services can run."},
		"Config.servers":    {Required: true, NonEmpty: true, Description: "Backend servers."},
		"Config.workspaces": {Required: true, NonEmpty: true, Description: "Workspaces."},

		"Limits.maxBodyBytes":          {Range: fieldschema.Between(0, maxBodyBytesLimit), Default: DefaultLimits.MaxBodyBytes, Description: "Largest request body, in bytes; 0 takes the default."},
		"Limits.maxOutputTokens":       {Range: fieldschema.Between(0, maxOutputTokensLimit), Default: DefaultLimits.MaxOutputTokens, Description: "Largest max_tokens a caller may ask for, in tokens; 0 takes the default."},
		"Limits.claimRetentionSeconds": {Range: fieldschema.Between(0, maxRetentionSeconds), Default: DefaultLimits.ClaimRetentionSeconds, Description: "How long the stored answer of a non-idempotent request is kept, in seconds; 0 takes the default."},

		"Zone.name":   {Required: true, Pattern: name, Description: "Name of the availability zone. No unit."},
		"Zone.region": {Required: true, Pattern: name, Description: "Region of the availability zone. No unit."},
		"Zone.state":  {Enum: []string{string(ZoneInService), string(ZoneTakenOut)}, Description: "Whether the zone may receive new work; absent keeps what is in force. No unit."},
	}
}

func serviceFields() map[string]fieldschema.Field {
	name := namePattern.String()
	return map[string]fieldschema.Field{
		"Service.name":                      {Required: true, Pattern: name, Description: "Name of the service. No unit."},
		"Service.kind":                      {Required: true, Enum: []string{string(ServiceGeneration), string(ServicePlain)}, Description: "Model engines or plain HTTP. No unit."},
		"Service.routes":                    {Description: "Calls of a plain service; the longest matching prefix wins, a call that matches none is refused."},
		"Service.timeoutSeconds":            {Range: fieldschema.Between(0, maxTimeoutSeconds), Default: DefaultTimeoutSeconds, Description: "Longest call to a plain service, in seconds; 0 takes the default."},
		"Service.queueSeconds":              {Range: fieldschema.Between(0, maxQueueSeconds), Default: DefaultQueueSeconds, Description: "Longest wait of class interactive, in seconds; 0 takes the default."},
		"Service.patientQueueSeconds":       {Range: fieldschema.Between(0, maxQueueSeconds), Default: DefaultPatientQueueSeconds, Description: "Longest wait of class patient, in seconds; 0 takes the default."},
		"Service.tokenIntervalTargetMillis": {Range: fieldschema.Between(0, maxTokenIntervalMillis), Default: DefaultTokenIntervalTargetMillis, Description: "Time between tokens above which an engine takes no further generation, in milliseconds; 0 takes the default."},

		"Route.method":     {Required: true, Enum: routeMethods, Description: "HTTP method. No unit."},
		"Route.pathPrefix": {Required: true, Pattern: `^/[^?#% ]*$`, Description: "Beginning of the path after the service's name. No unit."},
		"Route.idempotent": {Description: "Whether the call may be repeated; absent means that it runs at most once. No unit."},

		"Model.name":          {Required: true, Pattern: name, Description: "Name of the model. No unit."},
		"Model.version":       {Required: true, Pattern: name, Description: "Version of the model. No unit."},
		"Model.service":       {Required: true, Pattern: name, Description: "Generation service whose backend servers run it. No unit."},
		"Model.contextTokens": {Required: true, Range: fieldschema.Between(1, maxContextTokens), Description: "Largest prompt plus output, in tokens."},
	}
}

func serverFields() map[string]fieldschema.Field {
	name := namePattern.String()
	return map[string]fieldschema.Field{
		"Server.name":         {Required: true, Pattern: name, Description: "Name of the backend server. No unit."},
		"Server.service":      {Required: true, Pattern: name, Description: "Service that it belongs to. No unit."},
		"Server.zone":         {Required: true, Pattern: name, Description: "Availability zone that it runs in. No unit."},
		"Server.address":      {Required: true, Description: "host:port by IP number."},
		"Server.state":        {Enum: []string{string(ServerInService), string(ServerDraining)}, Description: "Whether it may receive new work; absent keeps what is in force. No unit."},
		"Server.models":       {Pattern: name, Description: "Models that an engine runs; absent for plain services. No unit."},
		"Server.coldLimit":    {Required: true, Range: fieldschema.Between(1, maxConcurrentRequests), Description: "Requests that it can handle at the same time just after its start, in requests; at most warmLimit."},
		"Server.warmLimit":    {Required: true, Range: fieldschema.Between(1, maxConcurrentRequests), Description: "Requests that it can handle at the same time when warm, in requests."},
		"Server.memoryTokens": {Range: fieldschema.Between(0, maxMemoryTokens), Description: "Memory of an engine for running sequences, in tokens; absent for plain services."},
		"Server.fencing":      {Enum: []string{string(FencingChecked), string(FencingIgnored)}, Description: "Whether an engine refuses orders with an old fencing number; absent for plain services. No unit."},
	}
}

func workspaceFields() map[string]fieldschema.Field {
	name := namePattern.String()
	return map[string]fieldschema.Field{
		"Workspace.name":        {Required: true, Pattern: name, Description: "Name of the workspace. No unit."},
		"Workspace.tokenSha256": {Required: true, NonEmpty: true, Pattern: sha256Pattern.String(), Description: "SHA-256 of each bearer token, 64 lower-case hex digits."},
		"Workspace.weight":      {Required: true, Range: fieldschema.Between(1, MaxWeight), Description: "Share of tokens under contention, in shares."},
		"Workspace.class":       {Required: true, Enum: []string{string(ClassInteractive), string(ClassPatient)}, Description: "Default class of work. No unit."},
		"Workspace.maxRunning":  {Range: fieldschema.Between(0, maxConcurrentRequests), Description: "Requests of the workspace running on one backend server, in requests; 0 means no bound."},
		"Workspace.maxQueued":   {Range: fieldschema.Between(0, maxConcurrentRequests), Description: "Requests of the workspace queued for one backend server, in requests; 0 means no bound."},
	}
}
