// Package design describes the HTTP interfaces of `tanagerlb serve` for callers
// and operators. goa generates the code under gen/ from it.
package design

import . "goa.design/goa/v3/dsl"

var _ = API("tanagerlb", func() {
	Title("tanagerlb")
	Description("Serving layer for very many LoRA adapters.")
	Server("caller", func() {
		Services("caller")
		Host("local", func() { URI("http://127.0.0.1:7000") })
	})
	Server("operator", func() {
		Services("operator")
		Host("local", func() { URI("http://127.0.0.1:7001") })
	})
})

// Address describes an entry VM that a caller may connect to.
var Address = Type("Address", func() {
	Attribute("vm", String, "Name of the VM.", func() { Example("riga-a-1") })
	Attribute("zone", String, "Availability zone of the VM.", func() { Example("riga-a") })
	Attribute("address", String, "IP and port for callers.", func() { Example("127.0.0.1:7000") })
	Attribute("boot", String, "Incarnation of the VM's process; bound keys start with it.", func() { Example("3f9c2a7d1b604e55") })
	Required("vm", "zone", "address", "boot")
})

// AddressList lists the entry VMs that a caller should use, and states how long
// the caller may keep the list.
var AddressList = Type("AddressList", func() {
	Attribute("addresses", ArrayOf(Address), "Entry VMs to use, the preferred one first.")
	Attribute("ttl", Int, "Seconds for which the answer may be kept.")
	Required("addresses", "ttl")
})

// Completion is a request to a model service to generate text with an adapter.
var Completion = Type("Completion", func() {
	Attribute("service", String, "Service whose document applies.", func() { MaxLength(64) })
	Attribute("adapter", String, "Adapter that the service's document names.", func() { MaxLength(128) })
	Attribute("prompt", String, "Text to complete.", func() { MaxLength(262144) })
	Attribute("tokens", Int, "Upper bound on generated tokens.", func() {
		Minimum(1)
		Maximum(8192)
		Default(64)
	})
	Attribute("call", String, "Kind of call, which sets its urgency.", func() {
		MaxLength(64)
		Default("default")
	})
	Required("service", "adapter", "prompt")
})

// Answer is the complete answer to a model call.
var Answer = Type("Answer", func() {
	Attribute("outcome", String, "Always done.", func() { Enum("done") })
	Attribute("text", String, "Generated text.")
	Attribute("tokens", Int, "Number of generated tokens.")
	Attribute("adapter", String, "Adapter that produced the text.")
	Attribute("version", String, "Version of the adapter.")
	Attribute("document", Int64, "Version of the document under which the call was admitted.")
	Required("outcome", "text", "tokens", "adapter", "version", "document")
})

// Chunk is one event of a streamed answer: a token, the end of the answer or an
// error.
var Chunk = Type("Chunk", func() {
	Attribute("event", String, "Kind of event; only done completes the answer.", func() { Enum("token", "done", "error") })
	Attribute("offset", Int, "Number of tokens before this event.")
	Attribute("text", String, "Text of the token.")
	Attribute("outcome", String, "Set on the last event.")
	Attribute("reason", String, "Set on an error event.")
	Required("event", "offset")
})

// Invocation is a call to a plain service, which has ordinary HTTP upstreams.
var Invocation = Type("Invocation", func() {
	Attribute("service", String, "Service whose document applies.", func() { MaxLength(64) })
	Attribute("call", String, "Kind of call.", func() { MaxLength(64) })
	Attribute("key", String, "Idempotency key; required for calls that may not be repeated.", func() { MaxLength(128) })
	Attribute("attempt", Int, "1 if the caller never sent this key before.", func() { Default(0) })
	Attribute("body", String, "Body passed to the service.", func() { MaxLength(262144) })
	Required("service", "call")
})

// Reply is the answer of a plain service.
var Reply = Type("Reply", func() {
	Attribute("outcome", String, "Always done.", func() { Enum("done") })
	Attribute("status", Int, "HTTP status of the service.")
	Attribute("body", String, "Body of the service's answer.")
	Attribute("repeated", Boolean, "True if the answer is that of an earlier call with the same key.")
	Required("outcome", "status", "body", "repeated")
})

// Refusal is the final answer to a call that got no complete response from an
// engine or upstream.
var Refusal = Type("Refusal", func() {
	Attribute("name", String, "Class of the refusal.", func() { Meta("struct:error:name") })
	Attribute("outcome", String, "What is known about the call.", func() { Enum("not-run", "unknown") })
	Attribute("reason", String, "Why the call was refused.")
	Attribute("retry_after", Int, "Seconds after which to come back.")
	Attribute("address", String, "Another address to use.")
	Required("name", "outcome", "reason", "retry_after")
})

func refusalHeaders() {
	Header("outcome:Tanager-Outcome")
	Header("retry_after:Retry-After")
}

func refusalBody() {
	refusalHeaders()
	Body(func() {
		Attribute("name")
		Attribute("outcome")
		Attribute("reason")
		Attribute("retry_after")
		Attribute("address")
		Required("name", "outcome", "reason", "retry_after")
	})
}

func refusals() {
	Error("invalid", Refusal, "The call can never be served as it is.")
	Error("conflict", Refusal, "The key is in use with another request.")
	Error("refused", Refusal, "The call was not run; come back later.")
	Error("unknown", Refusal, "It is not known whether the call ran.")
}

func refusalResponses(shape func()) {
	Response("invalid", StatusBadRequest, shape)
	Response("conflict", StatusConflict, shape)
	Response("refused", StatusServiceUnavailable, shape)
	Response("unknown", StatusGatewayTimeout, shape)
}

var _ = Service("caller", func() {
	Description("Interface for callers.")

	Method("addresses", func() {
		Description("Returns the entry VMs that the caller should use.")
		Payload(func() {
			Attribute("zone", String, "Availability zone of the caller.", func() { MaxLength(64) })
		})
		Result(AddressList)
		HTTP(func() {
			GET("/v1/addresses")
			Param("zone")
			Response(StatusOK)
		})
	})

	Method("complete", func() {
		Description("Runs a model call and returns the whole answer.")
		Payload(Completion)
		Result(Answer)
		refusals()
		HTTP(func() {
			POST("/v1/services/{service}/complete")
			Response(StatusOK, func() { doneHeader("text", "tokens", "adapter", "version", "document") })
			refusalResponses(refusalBody)
		})
	})

	Method("stream", func() {
		Description("Runs a model call and streams the answer. The answer is whole only after a done event.")
		Payload(Completion)
		StreamingResult(Chunk)
		refusals()
		HTTP(func() {
			POST("/v1/services/{service}/stream")
			ServerSentEvents(func() {
				SSEEventType("event")
			})
			refusalResponses(refusalHeaders)
		})
	})

	Method("invoke", func() {
		Description("Runs a call of a plain service.")
		Payload(Invocation)
		Result(Reply)
		refusals()
		HTTP(func() {
			POST("/v1/services/{service}/calls/{call}")
			Header("key:Idempotency-Key")
			Header("attempt:Tanager-Attempt")
			Response(StatusOK, func() { doneHeader("status", "body", "repeated") })
			refusalResponses(refusalBody)
		})
	})
})

func doneHeader(attributes ...string) {
	Header("outcome:Tanager-Outcome")
	Body(func() {
		Attribute("outcome")
		for _, a := range attributes {
			Attribute(a)
		}
		Required(append([]string{"outcome"}, attributes...)...)
	})
}

// Verdict tells whether a published document was accepted and on how many VMs it
// is in force.
var Verdict = Type("Verdict", func() {
	Attribute("service", String)
	Attribute("accepted", Boolean, "True if the document is in force.")
	Attribute("version", Int64, "Version of this document if accepted.")
	Attribute("winner", Int64, "Version in force if the document was rejected.")
	Attribute("vms", Int, "Number of live VMs that have the version, if waited for.")
	Attribute("live", Int, "Number of live VMs.")
	Required("service", "accepted", "version", "winner", "vms", "live")
})

// Published is a service's document in force, with its version.
var Published = Type("Published", func() {
	Attribute("service", String)
	Attribute("version", Int64)
	Attribute("document", String, "YAML text of the document.")
	Required("service", "version", "document")
})

// VMStatus is the state of a VM as another VM sees it.
var VMStatus = Type("VMStatus", func() {
	Attribute("vm", String)
	Attribute("zone", String)
	Attribute("boot", String)
	Attribute("state", String)
	Attribute("versions", MapOf(String, Int64), "Document versions in force, by service.")
	Required("vm", "zone", "boot", "state")
})

// EngineStatus is the state of an engine as one VM sees it.
var EngineStatus = Type("EngineStatus", func() {
	Attribute("engine", String)
	Attribute("owner", String)
	Attribute("fence", Int64)
	Attribute("resident", ArrayOf(String))
	Attribute("running", Int)
	Attribute("waiting", Int)
	Required("engine", "owner", "fence")
})

// Status is the state of the fleet as one VM sees it.
var Status = Type("Status", func() {
	Attribute("vm", String)
	Attribute("vms", ArrayOf(VMStatus))
	Attribute("engines", ArrayOf(EngineStatus))
	Attribute("log", String, "State of the log service: up or down.")
	Required("vm", "vms", "engines", "log")
})

var _ = Service("operator", func() {
	Description("Interface for operators; bound to a port of its own.")

	Error("invalid", String, "The document has findings.")
	Error("missing", String, "The service has no document.")
	Error("unavailable", String, "The log service gave no verdict.")

	Method("publish", func() {
		Description("Publishes a document version and returns the verdict.")
		Payload(func() {
			Attribute("base", Int64, "Version that the document replaces; 0 for the first.")
			Attribute("document", String, "YAML text of the document.", func() { MaxLength(4194304) })
			Attribute("wait", Boolean, "Wait until each live VM has the version.", func() { Default(false) })
			Required("base", "document")
		})
		Result(Verdict)
		HTTP(func() {
			POST("/v1/documents")
			Response(StatusOK)
			Response("invalid", StatusBadRequest)
			Response("unavailable", StatusServiceUnavailable)
		})
	})

	Method("show", func() {
		Description("Returns the document in force.")
		Payload(func() {
			Attribute("service", String, func() { MaxLength(64) })
			Required("service")
		})
		Result(Published)
		HTTP(func() {
			GET("/v1/documents/{service}")
			Response(StatusOK)
			Response("missing", StatusNotFound)
		})
	})

	Method("status", func() {
		Description("Returns the state of the system as this VM sees it.")
		Result(Status)
		HTTP(func() {
			GET("/v1/status")
			Response(StatusOK)
		})
	})
})
