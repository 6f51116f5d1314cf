package rpc

// pathPrefix begins the URL path of every method.
const pathPrefix = "/oj/"

// Method names a call and fixes the types of its request and its response, so that
// callers and handlers agree on them. Its text is on the wire.
type Method[Request, Response any] string

func (method Method[Request, Response]) path() string { return pathPrefix + string(method) }
