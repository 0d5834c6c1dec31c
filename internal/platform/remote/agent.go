package remote

import (
	"context"
	"net/http"

	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

// NewAgent returns a client of all task agents; each call names one by ip:port.
func NewAgent(client *http.Client) worker.Agent {
	caller := newCaller(client)
	return worker.Agent{
		Start: func(ctx context.Context, address string, order worker.StartOrder) (task worker.Task, err error) {
			err = caller.post(ctx, "start task", address, agentURL(address, "/start"), order, &task)
			return task, err
		},
		Renew: func(ctx context.Context, address string, order worker.RenewOrder) (report worker.Report, err error) {
			err = caller.post(ctx, "renew leases", address, agentURL(address, "/renew"), order, &report)
			return report, err
		},
		Stop: func(ctx context.Context, address string, order worker.StopOrder) (task worker.Task, err error) {
			err = caller.post(ctx, "stop task", address, agentURL(address, "/stop"), order, &task)
			return task, err
		},
		Throttle: func(ctx context.Context, address string, order worker.ThrottleOrder) (task worker.Task, err error) {
			err = caller.post(ctx, "throttle task", address, agentURL(address, "/throttle"), order, &task)
			return task, err
		},
		Forget: func(ctx context.Context, address string, order worker.ForgetOrder) error {
			return caller.post(ctx, "forget tasks", address, agentURL(address, "/forget"), order, nil)
		},
		Look: func(ctx context.Context, address string) (report worker.Report, err error) {
			err = caller.get(ctx, "look at tasks", address, agentURL(address, ""), &report)
			return report, err
		},
	}
}

func agentURL(address, path string) string { return "http://" + address + "/tasks" + path }
