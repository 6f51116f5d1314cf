package message

// FoundRequest asks a seed, at the system's first start, to promise a ballot or, with a proposal,
// to accept that as the first membership. A ballot belongs to one seed, which proposes one
// membership under it. A Proposal of serial 0 stands for none.
type FoundRequest struct {
	Ballot   int
	Proposal AcceptedValue
}

// FoundResponse says whether the seed has granted the request. Accepted is the proposal that it
// has accepted last, under AcceptedBallot. Membership is set if the seed knows the membership.
type FoundResponse struct {
	Granted        bool
	AcceptedBallot int
	Accepted       AcceptedValue
	Membership     AcceptedValue
}

// Check rejects a ballot out of range.
func (request *FoundRequest) Check() error { return checkCoreID(request.Ballot) }
