package wire

// What cores say to each other.

// Precheck asks whether a candidacy would find support, before any ballot is pushed.
// Members is the newest membership that the candidate knows.
type Precheck struct {
	Core    int
	Marks   Marks
	Members Mark
}

// PrecheckTold is whether a core would support the candidate, and what it knows
// itself: whether it hears a leader, its marks, its highest round, a newer membership.
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

// AcceptTold is whether the value was taken; Lacks are digests of branches that are missing.
type AcceptTold struct {
	Taken    bool
	Promised Ballot
	Lacks    []string
}

// Beat is a leader's heartbeat. It tells what is committed and, while Duck is set, who
// is to lead next.
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

// StepDownTold is whether the core takes over.
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

// TellTold confirms a Tell.
type TellTold struct{}

// Check refuses a ballot without a round or of a core out of range.
func (message *Promise) Check() error { return message.Ballot.check() }

// Check refuses an unknown register, a damaged branch and a bad ballot.
func (message *Accept) Check() error {
	if message.Register < 0 || message.Register >= Registers {
		return New(BadMessage, "no register %d", message.Register)
	}
	if mishap := message.Texts.check(); mishap != nil {
		return mishap
	}
	return message.Ballot.check()
}

// Check refuses a ballot without a round or of a core out of range.
func (message *Beat) Check() error { return message.Ballot.check() }

// Check refuses a learner's address that is none, and a bad ballot.
func (message *StepDown) Check() error {
	for _, address := range message.Learners {
		if mishap := (Peer{ID: 1, Address: address}).check(); mishap != nil {
			return mishap
		}
	}
	return message.Ballot.check()
}

// Check refuses a core out of range.
func (message *Precheck) Check() error { return checkCore(message.Core) }

// Check refuses a core out of range.
func (message *Restore) Check() error { return checkCore(message.Core) }

// Check refuses a session that is refused by itself, and a core out of range.
func (message *Tell) Check() error {
	for index := range message.Sessions {
		if mishap := message.Sessions[index].Check(); mishap != nil {
			return mishap
		}
	}
	return checkCore(message.Core)
}

func (ballot Ballot) check() error {
	if ballot.Round == 0 {
		return New(BadMessage, "ballot without a round")
	}
	return checkCore(ballot.Core)
}

func checkCore(core int) error {
	if core < 1 || core > PeerMost {
		return New(BadMessage, "core id %d is not in 1 to %d", core, PeerMost)
	}
	return nil
}
