package rpc

// pathPrefix is the prefix of the URL paths of methods.
const pathPrefix = "/oj/"

// Method is the name of an RPC method, with the types of its request and response, so that clients
// and handlers agree on them. The name is part of the URL path.
type Method[Request, Response any] string

func (method Method[Request, Response]) path() string { return pathPrefix + string(method) }
