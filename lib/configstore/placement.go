package configstore

import (
	"context"
	"errors"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	v1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/platform"
)

const placementPrefix = "placement/"

func (c *Client) readPlacements(ctx context.Context) ([]*v1.Placement, error) {
	objects, err := c.list(ctx, placementPrefix)
	if err != nil {
		return nil, err
	}
	placements := make([]*v1.Placement, 0, len(objects))
	for _, object := range objects {
		placement, err := decodePlacement(object)
		if err != nil {
			return nil, err
		}
		placements = append(placements, placement)
	}
	return placements, nil
}

func decodePlacement(object platform.Object) (*v1.Placement, error) {
	placement := &v1.Placement{}
	if err := proto.Unmarshal(object.Value, placement); err != nil {
		return nil, errkind.Wrap(err, errkind.Corrupt, "delete the object; it is written again", "object %s cannot be read", object.Key)
	}
	if placementPrefix+placement.GetModel() != object.Key {
		return nil, errkind.New(errkind.Corrupt, "delete the object; it is written again", "object %s places model %q", object.Key, placement.GetModel())
	}
	return placement, checkPlacement(placement)
}

// WritePlacement stores a placement, replacing an older one. It fails with the kind
// Stale when the platform holds a placement of the same or a higher fencing number
// and generation, unless it is the same placement.
func (c *Client) WritePlacement(ctx context.Context, placement *v1.Placement) error {
	placement = proto.CloneOf(placement)
	slices.SortFunc(placement.Assignments, func(a, b *v1.Assignment) int { return strings.Compare(a.GetVm(), b.GetVm()) })
	if err := checkPlacement(placement); err != nil {
		return errkind.Wrap(err, errkind.Invalid, "correct the placement", "write placement")
	}
	value, err := proto.Marshal(placement)
	if err != nil {
		return errkind.Wrap(err, errkind.Invalid, "report this error", "encode placement")
	}
	key := placementPrefix + placement.GetModel()
	for retries := c.newRetryLoop(); ; {
		err := c.replacePlacement(ctx, key, value, placement)
		if err == nil || errkind.Of(err) != "" {
			return err
		}
		if isWriteConflict(err) {
			err = &platform.UnavailableError{Err: err}
		}
		if err := retries.waitOrFail(ctx, err); err != nil {
			return err
		}
	}
}

func (c *Client) replacePlacement(ctx context.Context, key string, value []byte, placement *v1.Placement) error {
	object, err := c.get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		_, err = c.store.Create(ctx, key, value)
		return err
	}
	if err != nil {
		return err
	}
	current, err := decodePlacement(object)
	if err != nil {
		return err
	}
	if proto.Equal(current, placement) {
		return nil
	}
	if !isNewer(placement, current) {
		return errkind.New(errkind.Stale, "read the placement and decide again",
			"placement of %q with fencing number %d and generation %d is not newer than %d and %d",
			placement.GetModel(), placement.GetFencing(), placement.GetGeneration(), current.GetFencing(), current.GetGeneration())
	}
	_, err = c.store.Update(ctx, key, value, object.Version)
	return err
}

// isNewer orders placements by fencing number, then by generation.
func isNewer(a, b *v1.Placement) bool {
	if a.GetFencing() != b.GetFencing() {
		return a.GetFencing() > b.GetFencing()
	}
	return a.GetGeneration() > b.GetGeneration()
}
