package rpc

import "net/netip"

// CheckAddress returns BadFlag if the value of a flag is not IP:port. Processes find each
// other by IP numbers, so names of hosts are refused.
func CheckAddress(flag, address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		return Errorf(BadFlag, "%s: %q is not IP:port", flag, address)
	}
	return nil
}
