package agent

import (
	"errors"

	"github.com/corianderdrift/corianderdrift/cellpb"
	"github.com/corianderdrift/corianderdrift/table"
)

func keyToProto(k table.Key) *cellpb.RowKey {
	return &cellpb.RowKey{Table: k.Table, Part: k.Partition, Name: k.Name}
}

func keyFromProto(k *cellpb.RowKey) table.Key {
	return table.Key{Table: k.GetTable(), Partition: k.GetPart(), Name: k.GetName()}
}

func rowsToProto(rows []table.Row) []*cellpb.Row {
	list := make([]*cellpb.Row, len(rows))
	for i, r := range rows {
		list[i] = &cellpb.Row{Key: keyToProto(r.Key), Value: r.Value, Version: r.Version, Deleted: r.Deleted}
	}
	return list
}

func rowsFromProto(rows []*cellpb.Row) []table.Row {
	list := make([]table.Row, len(rows))
	for i, r := range rows {
		list[i] = table.Row{Key: keyFromProto(r.GetKey()), Value: r.GetValue(), Version: r.GetVersion(), Deleted: r.GetDeleted()}
	}
	return list
}

func txToProto(tx table.Tx) *cellpb.CommitRequest {
	req := &cellpb.CommitRequest{}
	for _, c := range tx.Checks {
		req.Checks = append(req.Checks, &cellpb.CommitRequest_Check{Key: keyToProto(c.Key), Version: c.Version})
	}
	for _, w := range tx.Writes {
		req.Writes = append(req.Writes, &cellpb.CommitRequest_Write{Key: keyToProto(w.Key), Value: w.Value})
	}
	for _, k := range tx.Removes {
		req.Removes = append(req.Removes, keyToProto(k))
	}
	return req
}

func txFromProto(req *cellpb.CommitRequest) table.Tx {
	var tx table.Tx
	for _, c := range req.GetChecks() {
		tx.Checks = append(tx.Checks, table.Check{Key: keyFromProto(c.GetKey()), Version: c.GetVersion()})
	}
	for _, w := range req.GetWrites() {
		tx.Writes = append(tx.Writes, table.Write{Key: keyFromProto(w.GetKey()), Value: w.GetValue()})
	}
	for _, k := range req.GetRemoves() {
		tx.Removes = append(tx.Removes, keyFromProto(k))
	}
	return tx
}

// failureToProto encodes an error for another host; an error of any other kind means that the outcome is unknown.
func failureToProto(err error) *cellpb.Failure {
	var conflict *table.ConflictError
	var refused *table.RefusedError
	var lost *table.HistoryLostError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return &cellpb.Failure{Kind: cellpb.Failure_CONFLICT, Rows: rowsToProto(conflict.Rows)}
	case errors.As(err, &refused):
		failure := &cellpb.Failure{Kind: cellpb.Failure_REFUSED, Status: int32(refused.Status)}
		if refused.Err != nil {
			failure.Text = refused.Err.Error()
		}
		return failure
	case errors.As(err, &lost):
		return &cellpb.Failure{Kind: cellpb.Failure_HISTORY_LOST}
	default:
		return &cellpb.Failure{Kind: cellpb.Failure_UNANSWERED, Text: err.Error()}
	}
}

func failureFromProto(op string, f *cellpb.Failure) error {
	switch f.GetKind() {
	case cellpb.Failure_NONE:
		return nil
	case cellpb.Failure_CONFLICT:
		return &table.ConflictError{Rows: rowsFromProto(f.GetRows())}
	case cellpb.Failure_REFUSED:
		refused := &table.RefusedError{Op: op, Status: int(f.GetStatus())}
		if text := f.GetText(); text != "" {
			refused.Err = errors.New(text)
		}
		return refused
	case cellpb.Failure_HISTORY_LOST:
		return &table.HistoryLostError{}
	default:
		return &table.UnansweredError{Op: op, Err: errors.New(f.GetText())}
	}
}
