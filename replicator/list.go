package replicator

import (
	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
)

// shareList sends the list of VMs to a peer that requests it, and requests it from
// the peer while this process does not know it.
func (r *Replicator) shareList(exchange *Exchange, frame *framer.Frame) {
	list := r.options.List
	switch {
	case frame.GetListPull() != nil && list.Ready():
		exchange.Queue(&framer.Frame{Body: &framer.Frame_ListRows{ListRows: listRows(list.VMs())}})
	case frame.GetListRows() != nil && !list.Ready():
		list.ApplyList(vmsOf(frame.GetListRows()))
	case !list.Ready():
		exchange.Queue(&framer.Frame{Body: &framer.Frame_ListPull{ListPull: &framer.ListPull{}}})
	}
}

func listRows(vms []carawaybeam.VM) *framer.ListRows {
	message := &framer.ListRows{Rows: make([]*framer.VMRow, 0, len(vms))}
	for _, vm := range vms {
		message.Rows = append(message.Rows, &framer.VMRow{
			Id:         string(vm.ID),
			State:      string(vm.State),
			DataCentre: string(vm.DataCentre),
			Role:       vm.Role,
			Address:    string(vm.Address),
			Pool:       string(vm.Pool),
		})
	}
	return message
}

func vmsOf(message *framer.ListRows) []carawaybeam.VM {
	vms := make([]carawaybeam.VM, 0, len(message.GetRows()))
	for _, row := range message.GetRows() {
		vms = append(vms, carawaybeam.VM{
			ID:         carawaybeam.VMID(row.GetId()),
			State:      carawaybeam.VMState(row.GetState()),
			DataCentre: carawaybeam.DataCentre(row.GetDataCentre()),
			Role:       row.GetRole(),
			Address:    carawaybeam.Address(row.GetAddress()),
			Pool:       carawaybeam.PoolID(row.GetPool()),
		})
	}
	return vms
}
