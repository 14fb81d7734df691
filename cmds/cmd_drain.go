package cmds

import (
	"encoding/json"

	"github.com/spf13/pflag"

	"github.com/corianderdrift/corianderdrift/entry"
)

var cmdDrain = command{
	name: "drain", args: "WORKER", short: "Stop giving a worker new work, or start again with --undo", minArgs: 1, maxArgs: 1,
	flags: func(flags *pflag.FlagSet) {
		editFlags(flags)
		flags.Bool("undo", false, "give the worker new work again")
		flags.String("why", "", "reason, shown to other operators")
	},
	action: func(inv invocation) error {
		undo, _ := inv.flags.GetBool("undo")
		why, _ := inv.flags.GetString("why")
		worker := entry.Worker{Kind: entry.KindWorker, Name: inv.args[0], Drain: !undo, Reason: why}
		doc, err := json.Marshal(worker)
		if err != nil {
			return err
		}
		return edit(inv, entry.Key(entry.KindWorker, inv.args[0]), doc)
	},
}
