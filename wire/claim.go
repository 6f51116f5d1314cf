package wire

// What proxies say to each other of money keys.

// ClaimKey is one caller's key within its tenant and service.
type ClaimKey struct {
	Tenant  string
	Service string
	Key     string
}

// ClaimStage is how far the holder of a claim came.
type ClaimStage int

const (
	ClaimRunning ClaimStage = iota + 1
	ClaimRan
	ClaimUnknown
)

// Claimed is what keepers remember of a key.
type Claimed struct {
	Key    ClaimKey
	ID     string
	Digest string
	Holder string
	Stage  ClaimStage
	AgeMs  int64
	Status int
	Header map[string]string
	Body   []byte
}

// Claim asks a keeper to hold a key for one task; Instead names a claim that
// its holder said it gave back.
type Claim struct {
	Claimed Claimed
	Instead string
	Table   TableMark
}

type ClaimTold struct {
	Granted bool
	Held    Claimed
}

// Settle tells keepers how a claimed task ended; Free gives the key back.
type Settle struct {
	Claimed Claimed
	Free    bool
}

type SettleTold struct{}

// Holds asks a claim's holder what became of it; another process that has the
// holder's name and address since does not know.
type Holds struct {
	Holder string
	Key    ClaimKey
	ID     string
}

type HoldsTold struct {
	Known bool
	Held  Claimed
}

// Retell gives a keeper claims that it may lack; Pull asks for all of a keeper's.
type Retell struct {
	Claims []Claimed
}

type RetellTold struct{}

type Pull struct {
	Name string
}

type PullTold struct {
	Grown  bool
	Claims []Claimed
}

func (claimed *Claimed) check() *Mishap {
	if claimed.Key.Key == "" || claimed.ID == "" || claimed.Holder == "" {
		return New(BadMessage, "claim without key, id or holder")
	}
	if claimed.Stage < ClaimRunning || claimed.Stage > ClaimUnknown {
		return New(BadMessage, "claim stage %d", claimed.Stage)
	}
	return nil
}

func (message *Claim) Check() *Mishap  { return message.Claimed.check() }
func (message *Settle) Check() *Mishap { return message.Claimed.check() }
func (message *Retell) Check() *Mishap {
	for index := range message.Claims {
		if mishap := message.Claims[index].check(); mishap != nil {
			return mishap
		}
	}
	return nil
}
