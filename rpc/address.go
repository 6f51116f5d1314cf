package rpc

import "net/netip"

// CheckAddress returns a BadFlag error if the value of a flag is not IP:port. Host names are
// rejected because processes address each other by IP.
func CheckAddress(flag, address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		return Errorf(BadFlag, "%s: %q is not IP:port", flag, address)
	}
	return nil
}
