package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/caller"
	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/logservice"
	"github.com/corneldeal/corneldeal/pkg/vmlist"
)

// statusTimeout is the timeout of the status request to one VM.
const statusTimeout = time.Second

// platformFlags returns the flags with the addresses of the platform's services, log and vm-list in this order.
func platformFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "log", Usage: "`IP:PORT` of the log service", Required: true},
		&cli.StringFlag{Name: "vm-list", Usage: "`IP:PORT` of the VM list", Required: true},
	}
}

// clients holds the network clients of the commands for operators.
type clients struct {
	http *httpcall.Client
	log  *logservice.Client
	vms  *vmlist.Client
}

func newClients(c *cli.Command) *clients {
	http := httpcall.NewClient()
	return &clients{
		http: http,
		log:  logservice.New(c.String("log"), http),
		vms:  vmlist.New(c.String("vm-list"), http),
	}
}

// vmStatus is the status of one VM, or the error of its request.
type vmStatus struct {
	vm     vmlist.VM
	status caller.Status
	err    error
}

// statuses requests the status of every VM in the VM list, concurrently.
func (p *clients) statuses(ctx context.Context) ([]vmStatus, error) {
	list, err := p.vms.Read(ctx)
	if err != nil {
		return nil, err
	}
	results := make([]vmStatus, len(list.VMs))
	done := make(chan struct{})
	for i, vm := range list.VMs {
		go func() {
			status, err := p.status(ctx, vm.CallerAddress)
			results[i] = vmStatus{vm: vm, status: status, err: err}
			done <- struct{}{}
		}()
	}
	for range list.VMs {
		<-done
	}
	return results, nil
}

// status requests the status of the VM at address.
func (p *clients) status(ctx context.Context, address string) (caller.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req := &fasthttp.Request{}
	req.SetRequestURI("/statusz")
	resp := &fasthttp.Response{}
	if err := p.http.Do(ctx, address, req, resp, httpcall.Options{}); err != nil {
		return caller.Status{}, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return caller.Status{}, fmt.Errorf("status %d", resp.StatusCode())
	}
	var status caller.Status
	err := json.Unmarshal(resp.Body(), &status)
	return status, err
}
