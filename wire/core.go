package wire

// What cores say to each other.

// Precheck asks whether a candidacy would find support, before any ballot is pushed.
// Members is the newest membership that the candidate knows.
type Precheck struct {
	Core    int
	Marks   Marks
	Members Mark
}

type PrecheckTold struct {
	Willing bool
	Heard   bool
	Voter   bool
	Marks   Marks
	Reach   int
	Round   uint64
	Members Accepted
}

// Promise asks a replica to take nothing under older ballots. It names the
// membership by which the asker counts: a replica that knows a newer one with other
// voters refuses.
type Promise struct {
	Ballot  Ballot
	Members Accepted
}

// PromiseTold holds all that was accepted where the promise was granted, and the
// newer membership where it was refused for that.
type PromiseTold struct {
	Granted  bool
	Promised Ballot
	Accepted [Registers]Accepted
	Members  Accepted
}

// Accept brings the branches that its sender thinks are new; the teller names
// those that it lacks all the same.
type Accept struct {
	Ballot   Ballot
	Register Register
	Value    Value
	Texts    Texts
}

type AcceptTold struct {
	Taken    bool
	Promised Ballot
	Lacks    []string
}

type Beat struct {
	Ballot    Ballot
	Leader    Leader
	Committed Marks
	Duck      bool
	Successor Leader
	Table     TableMark
	NowMs     int64
}

// BeatTold is a core's answer to a beat. One whose disk refuses writes or does not
// answer takes the beat, as its promise stands, and can accept nothing.
type BeatTold struct {
	Taken    bool
	Voter    bool
	Refuses  bool
	Promised Ballot
	Marks    Marks
	Reach    int
	AnchorMs int64
	NowMs    int64
}

// StepDown asks a core to take over the lead. It names the addresses of the learners,
// so that one of them can take the place of a leader that ends.
type StepDown struct {
	Ballot   Ballot
	From     int
	Marks    Marks
	Learners []string
}

type StepDownTold struct {
	Taken bool
}

// Restore asks a core what it holds, for one whose disk is blank.
type Restore struct {
	Core    int
	Members Mark
}

// RestoreTold is what a replica holds, and the membership where it knows a newer one.
type RestoreTold struct {
	Voter    bool
	Founded  bool
	Promised Ballot
	Marks    Marks
	Members  Accepted
}

// Tell carries the sessions one core keeps to the others.
type Tell struct {
	Core     int
	Sessions []Session
}

type TellTold struct{}

func (message *Promise) Check() *Mishap { return message.Ballot.check() }
func (message *Accept) Check() *Mishap {
	if message.Register < 0 || message.Register >= Registers {
		return New(BadMessage, "no register %d", message.Register)
	}
	if mishap := message.Texts.check(); mishap != nil {
		return mishap
	}
	return message.Ballot.check()
}
func (message *Beat) Check() *Mishap { return message.Ballot.check() }
func (message *StepDown) Check() *Mishap {
	for _, address := range message.Learners {
		if mishap := (Peer{ID: 1, Address: address}).check(); mishap != nil {
			return mishap
		}
	}
	return message.Ballot.check()
}
func (message *Precheck) Check() *Mishap { return checkCore(message.Core) }
func (message *Restore) Check() *Mishap  { return checkCore(message.Core) }
func (message *Tell) Check() *Mishap {
	for index := range message.Sessions {
		if mishap := message.Sessions[index].Check(); mishap != nil {
			return mishap
		}
	}
	return checkCore(message.Core)
}

func (ballot Ballot) check() *Mishap {
	if ballot.Round == 0 {
		return New(BadMessage, "ballot without a round")
	}
	return checkCore(ballot.Core)
}

func checkCore(core int) *Mishap {
	if core < 1 || core > PeerMost {
		return New(BadMessage, "core id %d is not in 1 to %d", core, PeerMost)
	}
	return nil
}
