package wire

import (
	"testing"

	"orchidjunction/harness/golden"
)

// goldenMessages are all messages by the names that they had when the file of their
// encodings was written. The encoding must never change: processes of two releases
// run side by side, and disks hold some of these structures.
func goldenMessages() map[string]any {
	return map[string]any{
		"Change": &Change{}, "ChangeTold": &ChangeTold{}, "Read": &Read{}, "ReadTold": &ReadTold{},
		"Status": &Status{}, "StatusTold": &StatusTold{},
		"Claim": &Claim{}, "ClaimTold": &ClaimTold{}, "Settle": &Settle{}, "SettleTold": &SettleTold{},
		"Holds": &Holds{}, "HoldsTold": &HoldsTold{}, "Retell": &Retell{}, "RetellTold": &RetellTold{},
		"Pull": &Pull{}, "PullTold": &PullTold{}, "Keep": &Keep{}, "KeepTold": &KeepTold{},
		"Precheck": &Precheck{}, "PrecheckTold": &PrecheckTold{}, "Promise": &Promise{}, "PromiseTold": &PromiseTold{},
		"Accept": &Accept{}, "AcceptTold": &AcceptTold{}, "Beat": &Beat{}, "BeatTold": &BeatTold{},
		"StepDown": &StepDown{}, "StepDownTold": &StepDownTold{}, "Restore": &Restore{}, "RestoreTold": &RestoreTold{},
		"Tell": &Tell{}, "TellTold": &TellTold{},
		"Session": &Session{}, "SessionTold": &SessionTold{}, "Count": &Count{}, "CountTold": &CountTold{},
		"Watch": &Watch{}, "WatchTold": &WatchTold{}, "Fetch": &Fetch{}, "FetchTold": &FetchTold{},
		"Who": &Who{}, "WhoTold": &WhoTold{}, "Confirm": &Confirm{}, "ConfirmTold": &ConfirmTold{},
		"Voters": &Voters{}, "Enlist": &Enlist{}, "EnlistTold": &EnlistTold{}, "Removal": &Removal{}, "RemovalTold": &RemovalTold{},
		"Leave": &Leave{}, "LeaveTold": &LeaveTold{},
		"Parts": &Parts{}, "PartsTold": &PartsTold{}, "Accepted": &Accepted{}, "Entry": &Entry{},
		"RouteChange": &RouteChange{}, "RouteChangeTold": &RouteChangeTold{}, "RouteRead": &RouteRead{}, "RouteReadTold": &RouteReadTold{},
		"Evacuate": &Evacuate{}, "EvacuateTold": &EvacuateTold{},
		"Mishap": &Mishap{}, "Table": &Table{},
	}
}

// Every message is encoded as it was when the file was written, byte for byte, and
// what was written then is read back into equal messages.
func TestMessageEncodingsStay(test *testing.T) {
	format := golden.Format{Marshal: Codec{}.Marshal, Unmarshal: unpack}
	format.Check(test, "testdata/messages.golden", goldenMessages())
}
