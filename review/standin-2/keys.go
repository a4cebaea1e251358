package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// applied is configApplyMs of the small deployments' sheets, after which a version has to be in force
// everywhere, with a second on top.
const applied = 3 * time.Second

// withTenants returns version 2 of the configuration with another list of tenants.
func withTenants(tenants string) []byte {
	c := configuration(2)
	at := bytes.Index(c, []byte(`"tenants":`))
	return append(c[:at:at], fmt.Sprintf(`"tenants":%s}`, tenants)...)
}

// sendOrder sends one order with a key on a connection of its own.
func sendOrder(address, id, key string) (status int, body string, err error) {
	req, err := http.NewRequest("POST", "http://"+address+"/order/1", strings.NewReader("one hire"))
	if err != nil {
		return 0, "", err
	}
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", "1500")
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// keys takes the last tenant out of the configuration and looks whose orders run after that.
func keys(ctx context.Context, b *Bench) (bool, error) {
	b.store.put(operatorTopic, "config", configuration(1))
	var replicas []*Replica
	for n := range 3 {
		r, err := b.addReplica(ctx, fmt.Sprintf("i-%d", n), "plain", 6, false)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	ports, err := freePorts("127.0.0.1", 1)
	if err != nil {
		return false, err
	}
	i, err := b.addInstance(ctx, "edge-1", "127.0.0.1", ports[0], Limits{284, 4100})
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	send := func(phase string) error {
		for _, key := range []string{"key1", "never-issued", ""} {
			status, body, err := sendOrder(i.front, phase+"-"+key, key)
			if err != nil {
				return err
			}
			b.log("%s: order with key %q: status %d %q", phase, key, status, body)
		}
		return nil
	}
	if err := send("before"); err != nil {
		return false, err
	}
	if b.trouble {
		b.store.put(operatorTopic, "config", withTenants(`[]`))
		b.log("version 2 is acknowledged: the last tenant is removed, the list of tenants is empty")
	} else {
		b.store.put(operatorTopic, "config", withTenants(`[{"name":"w1","apiKeys":[],"priority":1}]`))
		b.log("version 2 is acknowledged: the last tenant loses its keys and stays listed")
	}
	time.Sleep(applied)
	if err := send("after"); err != nil {
		return false, err
	}
	broken := false
	for _, r := range replicas {
		for _, x := range r.list() {
			b.log("%s ran %s %s of %s", r.id, x.Method, x.Target, x.ID)
			broken = broken || x.Ran && x.ID != "before-key1"
		}
	}
	return broken, nil
}

func init() { cases["keys"] = keys }
