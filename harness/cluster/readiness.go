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

// Bootstrap starts all processes, activates the first settings and waits until every daemon
// is ready.
func (fleet *Fleet) Bootstrap() error {
	for _, process := range fleet.allProcesses() {
		if err := process.Start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(30 * time.Second)
	var lastErr error
	if fleet.peer != nil {
		fleet.settingsBody = fleet.settingsBelowDemand()
	}
	for time.Now().Before(deadline) {
		settings, err := fleet.OperatorClient(0).Read(false)
		if err == nil && settings.Confirmed && settings.Serial == 0 {
			_, err = fleet.OperatorClient(0).
				Put(operator.Change{Base: 0, Change: "first", Operator: "ojcluster", Settings: fleet.settingsBody})
		}
		if err == nil && settings.Confirmed {
			return fleet.waitReady(deadline)
		}
		lastErr = err
		fleet.goroutines.Sleep(50 * time.Millisecond)
	}
	return rpc.Errorf(rpc.NotReady, "no settings in force within 30 s: %v", lastErr)
}

// settingsBelowDemand returns settings in which the partner's proxies have half the capacity
// for its load, so that it borrows all the time.
func (fleet *Fleet) settingsBelowDemand() []byte {
	document := map[string]json.RawMessage{}
	if json.Unmarshal(fleet.settingsBody, &document) != nil {
		return fleet.settingsBody
	}
	document["front_rps"] = json.RawMessage(fmt.Sprint(max(fleet.Spec.Rate/len(fleet.Proxies)/2, 1)))
	body, _ := json.Marshal(document)
	return body
}

// Serials returns the serial in force at each daemon, 0 for those that are not ready.
func (fleet *Fleet) Serials() []uint64 {
	daemons := fleet.daemons()
	results, _ := concurrent.Gather(fleet.goroutines, len(daemons), func(index int) (uint64, error) {
		health := struct {
			Serial uint64 `json:"serial"`
			Ready  bool   `json:"ready"`
		}{}
		err := fleet.getJSON(daemons[index].OperatorAddress, "/v1/health", &health)
		if !health.Ready {
			health.Serial = 0
		}
		return health.Serial, err
	}, func(map[int]uint64, map[int]error) bool { return false })
	serials := make([]uint64, len(daemons))
	for index, serial := range results {
		serials[index] = serial
	}
	return serials
}

func (fleet *Fleet) getJSON(address, path string, result any) error {
	response, err := fleet.client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(result)
}

func (fleet *Fleet) waitReady(deadline time.Time) error {
	for time.Now().Before(deadline) {
		ready := true
		for _, serial := range fleet.Serials() {
			ready = ready && serial > 0
		}
		if ready && fleet.directoriesReady() && fleet.keyReplicasReady() {
			return nil
		}
		fleet.goroutines.Sleep(50 * time.Millisecond)
	}
	return rpc.Errorf(rpc.NotReady, "not ready in time; serials in force: %v", fleet.Serials())
}

// keyReplicasReady reports whether every running proxy is a key replica.
func (fleet *Fleet) keyReplicasReady() bool {
	status, err := fleet.OperatorClient(0).Status()
	if err != nil {
		return false
	}
	replicas, proxies := 0, 0
	for _, entry := range status.Members {
		if entry.Member.KeyReplica {
			replicas++
		}
	}
	for _, process := range fleet.Proxies {
		if process.Alive() {
			proxies++
		}
	}
	return replicas >= proxies
}

// directoriesReady reports whether every directory returns a placement for each tenant.
func (fleet *Fleet) directoriesReady() bool {
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
