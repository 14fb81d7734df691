package cmds

import (
	"encoding/json"

	"github.com/spf13/pflag"

	"github.com/corianderdrift/corianderdrift/entry"
)

var cmdDrain = command{
	name: "drain", args: "WORKER", short: "Give a worker no new work, or --undo that", least: 1, most: 1,
	flags: func(flags *pflag.FlagSet) {
		editFlags(flags)
		flags.Bool("undo", false, "let the worker take work again")
		flags.String("why", "", "reason, for other operators")
	},
	action: func(in call) error {
		undo, _ := in.flags.GetBool("undo")
		why, _ := in.flags.GetString("why")
		mark := entry.Mark{Kind: entry.KindWorker, Name: in.args[0], Drain: !undo, Why: why}
		doc, err := json.Marshal(mark)
		if err != nil {
			return err
		}
		return edit(in, entry.Key(entry.KindWorker, in.args[0]), doc)
	},
}
