package control

import (
	"sync"

	"orchidjunction/message"
	"orchidjunction/route"
	"orchidjunction/rpc"
)

// routingCache is a committed routing as daemons get it, packed once.
type routingCache struct {
	mutex  sync.Mutex
	serial uint64
	body   []byte
}

// get packs a book as daemons need it, and squeezes it.
func (cache *routingCache) get(value message.Value) ([]byte, error) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	if cache.serial == value.Serial {
		return cache.body, nil
	}
	book, err := route.BookOf(value.Body)
	if err != nil {
		return nil, err
	}
	body, err := rpc.Marshal(book.Bare())
	if err != nil {
		return nil, rpc.AsError(err)
	}
	cache.serial, cache.body = value.Serial, message.Compress(body)
	return cache.body, nil
}

// Routing is the committed routing as this core holds it.
func (core *Core) Routing() (uint64, *route.Book) {
	core.mutex.Lock()
	value := core.committed[message.RoutingRegister].Value
	core.mutex.Unlock()
	book, err := route.BookOf(value.Body)
	if err != nil {
		return 0, &route.Book{}
	}
	return value.Serial, book
}

// applyRoutingChange is the book after a change, or that the change was taken before. A base
// that is no longer current is named before all else that may be wrong: who lost a
// race sent a valid configuration. Whether a very old order was taken is not known.
func applyRoutingChange(book *route.Book, change *route.Change) (next *route.Book, again bool, err error) {
	if book.Trail.Holds(change.Version, change.Digest) {
		return nil, true, nil
	}
	switch {
	case change.Base != book.Config.Version && book.Trail.Forgets(change.Version):
		return nil, false, &rpc.Error{Code: rpc.Forgotten, Message: "too long ago to know whether it was taken", Serial: book.Config.Version}
	case change.Base != book.Config.Version:
		return nil, false, &rpc.Error{Code: rpc.StaleBase, Message: "another version is in place", Serial: book.Config.Version}
	case change.Version <= book.Config.Version:
		return nil, false, &rpc.Error{Code: rpc.StaleVersion, Message: "a version as high is in place", Serial: book.Config.Version}
	}
	config := book.Config
	switch {
	case change.Whole != nil:
		config = *change.Whole
	case change.Patch != nil:
		if config, err = config.Apply(change.Patch); err != nil {
			return nil, false, err
		}
	default:
		return nil, false, rpc.Errorf(rpc.BadRequest, "neither a whole routing nor a patch")
	}
	config.Version = change.Version
	if err := config.Check(); err != nil {
		return nil, false, err
	}
	changed := *book
	changed.Config, changed.Trail = config, book.Trail.With(change.Version, change.Digest)
	return &changed, false, nil
}

// writeRouting writes the book that build makes of the current one, and gives
// the serial that holds it; none made leaves the current serial.
func (leadership *Leadership) writeRouting(build func(book *route.Book) (*route.Book, error)) (uint64, error) {
	var next *route.Book
	held := uint64(0)
	serial, err := leadership.write(message.RoutingRegister, func(current message.Value) (*message.Value, message.Chunks, error) {
		held = current.Serial
		book, err := build(leadership.currentRouting())
		if err != nil || book == nil {
			return nil, nil, err
		}
		body, err := rpc.Marshal(book)
		if err != nil {
			return nil, nil, rpc.AsError(err)
		}
		next = book
		return &message.Value{Serial: current.Serial + 1, Body: body}, nil, nil
	}, func() { leadership.routing = next })
	if err == nil && serial == 0 {
		serial = held
	}
	return serial, err
}

// currentRouting is the routing that the leadership wrote or took over.
func (leadership *Leadership) currentRouting() *route.Book {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	return leadership.routing
}

// onRouteChange puts an operator's routing in force at the leader, or says why not.
// What needs no write, a repeat or a refusal, is told only by who still leads: the
// next leader may have taken the order, or others.
func (core *Core) onRouteChange(request *message.RoutingChangeRequest) (*message.RoutingChangeResponse, error) {
	leadership, err := core.currentLeadership()
	if err != nil {
		return nil, err
	}
	change := &route.Change{}
	if err := rpc.Unmarshal(request.Body, change); err != nil {
		return nil, rpc.AsError(err)
	}
	response, decided := &message.RoutingChangeResponse{}, false
	response.Serial, err = leadership.writeRouting(func(book *route.Book) (*route.Book, error) {
		next, again, refusal := applyRoutingChange(book, change)
		response.Duplicate, decided = again, next == nil
		return next, refusal
	})
	if decided {
		err = leadership.confirmDecision(err)
	}
	if err != nil {
		core.counters.Add("routings_"+string(rpc.CodeOf(err)), 1)
		return nil, err
	}
	core.counters.Add("routings_taken", 1)
	return response, nil
}

// confirmDecision is what a caller is told of a decision that needed no write: the decision,
// once a majority took a beat that was begun after it, and else why there was none.
func (leadership *Leadership) confirmDecision(decision error) error {
	if unsure := leadership.confirm(leadership.core.callTimeout()); unsure != nil {
		return unsure
	}
	return decision
}

func (core *Core) onRouteRead(*message.RoutingReadRequest) (*message.RoutingReadResponse, error) {
	leadership, err := core.currentLeadership()
	if err != nil {
		return nil, err
	}
	if err := leadership.confirm(core.callTimeout()); err != nil {
		return nil, err
	}
	value := leadership.value(message.RoutingRegister)
	return &message.RoutingReadResponse{Serial: value.Serial, Body: value.Body}, nil
}
