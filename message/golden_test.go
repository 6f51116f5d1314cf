package message

import (
	"testing"

	"orchidjunction/harness/golden"
	"orchidjunction/rpc"
)

// goldenMessages returns all messages by their names in the golden file. The encodings must never
// change: processes of two releases run side by side, and some of these structures are stored on
// disk.
func goldenMessages() map[string]any {
	return map[string]any{
		"Change":           &ChangeRequest{},
		"ChangeTold":       &ChangeResponse{},
		"Read":             &ReadRequest{},
		"ReadTold":         &ReadResponse{},
		"Status":           &StatusRequest{},
		"StatusTold":       &StatusResponse{},
		"Claim":            &ClaimRequest{},
		"ClaimTold":        &ClaimResponse{},
		"Settle":           &CompleteClaimRequest{},
		"SettleTold":       &CompleteClaimResponse{},
		"Holds":            &QueryHolderRequest{},
		"HoldsTold":        &QueryHolderResponse{},
		"Retell":           &MergeClaimsRequest{},
		"RetellTold":       &MergeClaimsResponse{},
		"Pull":             &FetchClaimsRequest{},
		"PullTold":         &FetchClaimsResponse{},
		"Keep":             &RecordClaimsRequest{},
		"KeepTold":         &RecordClaimsResponse{},
		"Precheck":         &PreVoteRequest{},
		"PrecheckTold":     &PreVoteResponse{},
		"Promise":          &PrepareRequest{},
		"PromiseTold":      &PrepareResponse{},
		"Accept":           &AcceptRequest{},
		"AcceptTold":       &AcceptResponse{},
		"Beat":             &HeartbeatRequest{},
		"BeatTold":         &HeartbeatResponse{},
		"StepDown":         &TransferLeadershipRequest{},
		"StepDownTold":     &TransferLeadershipResponse{},
		"Restore":          &ReplicaStateRequest{},
		"RestoreTold":      &ReplicaStateResponse{},
		"Tell":             &ShareSessionsRequest{},
		"TellTold":         &ShareSessionsResponse{},
		"Session":          &Session{},
		"SessionTold":      &SessionResponse{},
		"Count":            &UsageCountRequest{},
		"CountTold":        &UsageCountResponse{},
		"Windows":          &WindowCountsRequest{},
		"WindowsTold":      &WindowCountsResponse{},
		"CopyCounts":       &CopyCountsRequest{},
		"CopyCountsTold":   &CopyCountsResponse{},
		"FetchCounts":      &FetchCountsRequest{},
		"FetchCountsTold":  &FetchCountsResponse{},
		"Watch":            &WatchRequest{},
		"WatchTold":        &WatchResponse{},
		"Fetch":            &FetchRequest{},
		"FetchTold":        &FetchResponse{},
		"Who":              &LeaderRequest{},
		"WhoTold":          &LeaderResponse{},
		"Confirm":          &ReadIndexRequest{},
		"ConfirmTold":      &ReadIndexResponse{},
		"Voters":           &VoterSet{},
		"Enlist":           &JoinRequest{},
		"EnlistTold":       &JoinResponse{},
		"Removal":          &RemoveVoterRequest{},
		"RemovalTold":      &RemoveVoterResponse{},
		"Leave":            &LeaveRequest{},
		"LeaveVoter":       &LeaveVoterRequest{},
		"LeaveTold":        &LeaveResponse{},
		"Parts":            &FetchChunksRequest{},
		"PartsTold":        &FetchChunksResponse{},
		"Accepted":         &AcceptedValue{},
		"Entry":            &HistoryEntry{},
		"RouteChange":      &RoutingChangeRequest{},
		"RouteChangeTold":  &RoutingChangeResponse{},
		"RouteRead":        &RoutingReadRequest{},
		"RouteReadTold":    &RoutingReadResponse{},
		"Evacuate":         &EvacuateRequest{},
		"EvacuateTold":     &EvacuateResponse{},
		"RolloutOrder":     &RolloutOrder{},
		"RolloutOrderTold": &RolloutOrderResponse{},
		"RolloutRead":      &RolloutReadRequest{},
		"RolloutReadTold":  &RolloutReadResponse{},
		"Mishap":           &rpc.Error{},
		"Table":            &Table{},
		"Renew":            &RenewCandidacyRequest{},
		"RenewTold":        &RenewCandidacyResponse{},
	}
}

// Every message is encoded exactly as in the golden file, and the encodings in the golden file
// decode to equal messages.
func TestMessageEncodingsStay(test *testing.T) {
	format := golden.Format{Marshal: rpc.Codec{}.Marshal, Unmarshal: rpc.Unmarshal}
	format.Check(test, "testdata/messages.golden", goldenMessages())
}
