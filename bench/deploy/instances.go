package deploy

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/platform"
)

// SetInstanceState changes the state of an instance in the instance list. It returns
// *platform.NotFoundError if the instance does not exist.
func (d *Deployment) SetInstanceState(ctx context.Context, id string, state platform.InstanceState) error {
	return d.changeInstance(ctx, id, func(instance *platform.Instance) { instance.State = state })
}

// SetInstanceAddress changes the address of an instance in the instance list. It returns
// *platform.NotFoundError if the instance does not exist.
func (d *Deployment) SetInstanceAddress(ctx context.Context, id, address string) error {
	return d.changeInstance(ctx, id, func(instance *platform.Instance) { instance.Address = address })
}

func (d *Deployment) changeInstance(ctx context.Context, id string, change func(*platform.Instance)) error {
	for i := range d.instances {
		if d.instances[i].ID == id {
			change(&d.instances[i])
			return send(ctx, http.MethodPut, d.URL(NameInstances)+"/v1/instances/"+id, d.instances[i], nil)
		}
	}
	return errors.WithStack(&platform.NotFoundError{Kind: "instance", Name: id})
}

// StartReplacement starts a second sidecar process for the backend servers of a sidecar, at
// another address. The instance list does not contain it.
func (d *Deployment) StartReplacement(ctx context.Context, id string) (*Process, error) {
	for _, instance := range d.instances {
		if instance.ID != id {
			continue
		}
		address, err := ports.pickAddress()
		if err != nil {
			return nil, err
		}
		instance.ID += "-replacement"
		instance.Address = address
		p, err := d.lagoonlaneProcess(instance)
		if err != nil {
			return nil, err
		}
		return p, p.start(ctx)
	}
	return nil, errors.WithStack(&platform.NotFoundError{Kind: "instance", Name: id})
}
