package cluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/operator"
	"orchidjunction/rpc"
)

// Up starts all processes, puts the first settings in force and waits until every
// daemon is ready.
func (fleet *Fleet) Up() error {
	for _, process := range fleet.all() {
		if err := process.Start(); err != nil {
			return err
		}
	}
	limit := time.Now().Add(30 * time.Second)
	var last error
	if fleet.peer != nil {
		fleet.body = fleet.short()
	}
	for time.Now().Before(limit) {
		settings, err := fleet.Operator(0).Read(false)
		if err == nil && settings.Confirmed && settings.Serial == 0 {
			_, err = fleet.Operator(0).Put(operator.Change{Base: 0, Change: "first", Operator: "ojcluster", Settings: fleet.body})
		}
		if err == nil && settings.Confirmed {
			return fleet.ready(limit)
		}
		last = err
		fleet.goroutines.Sleep(50 * time.Millisecond)
	}
	return rpc.Errorf(rpc.NotReady, "no settings in force in time: %v", last)
}

// short are the settings of a partner whose fronts carry less than it
// needs, so that room is borrowed all the time.
func (fleet *Fleet) short() []byte {
	whole := map[string]json.RawMessage{}
	if json.Unmarshal(fleet.body, &whole) != nil {
		return fleet.body
	}
	whole["front_rps"] = json.RawMessage(fmt.Sprint(max(fleet.Spec.Rate/len(fleet.Proxies)/2, 1)))
	body, _ := json.Marshal(whole)
	return body
}

// Serials returns the serial in force at every daemon, 0 for those that are not
// ready.
func (fleet *Fleet) Serials() []uint64 {
	daemons := fleet.daemons()
	got, _ := concurrent.Gather(fleet.goroutines, len(daemons), func(index int) (uint64, error) {
		health := struct {
			Serial uint64 `json:"serial"`
			Ready  bool   `json:"ready"`
		}{}
		err := fleet.get(daemons[index].OperatorAddress, "/v1/health", &health)
		if !health.Ready {
			health.Serial = 0
		}
		return health.Serial, err
	}, func(map[int]uint64, map[int]error) bool { return false })
	serials := make([]uint64, len(daemons))
	for index, serial := range got {
		serials[index] = serial
	}
	return serials
}

func (fleet *Fleet) get(address, path string, into any) error {
	response, err := fleet.client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

func (fleet *Fleet) ready(limit time.Time) error {
	for time.Now().Before(limit) {
		ready := true
		for _, serial := range fleet.Serials() {
			ready = ready && serial > 0
		}
		if ready && fleet.placing() && fleet.keeping() {
			return nil
		}
		fleet.goroutines.Sleep(50 * time.Millisecond)
	}
	return rpc.Errorf(rpc.NotReady, "serials in force: %v", fleet.Serials())
}

// keeping is true once every proxy that lives keeps claims.
func (fleet *Fleet) keeping() bool {
	status, err := fleet.Operator(0).Status()
	if err != nil {
		return false
	}
	keepers, proxies := 0, 0
	for _, known := range status.Members {
		if known.Member.KeyReplica {
			keepers++
		}
	}
	for _, process := range fleet.Proxies {
		if process.Alive() {
			proxies++
		}
	}
	return keepers >= proxies
}

// placing is true once every directory sends callers somewhere.
func (fleet *Fleet) placing() bool {
	for _, directory := range fleet.Directories {
		for name := range fleet.settings.Tenants {
			request, err := http.NewRequest(http.MethodGet, "http://"+directory.PublicAddress+"/v1/place", nil)
			if err != nil {
				return false
			}
			request.Header.Set("Authorization", "Bearer key-of-"+name)
			response, err := fleet.client.Do(request)
			if err != nil {
				return false
			}
			response.Body.Close()
			if response.StatusCode != http.StatusOK {
				return false
			}
		}
	}
	return true
}
