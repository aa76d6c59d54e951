package btentry

import (
	"fmt"
	"time"

	"bilberrytide/core/btroute"
	"bilberrytide/io/btmetric"
)

// applyRouterEffects applies the effects of the router.
func (f *fleet) applyRouterEffects(effects []btroute.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case btroute.Ejected:
			f.ejected[e.Target] = e
			f.decisions.Add(btmetric.Decision{
				Time:     f.clock(),
				Act:      "target_ejected",
				Subject:  "target " + string(e.Target),
				Cause:    string(e.Cause),
				Evidence: fmt.Sprintf("%+v", e.Evidence),
				Expected: "its work goes to others until " + e.Until.UTC().Format(time.RFC3339),
			})
		case btroute.Restored:
			delete(f.ejected, e.Target)
			f.decisions.Add(btmetric.Decision{
				Time:     f.clock(),
				Act:      "target_restored",
				Subject:  "target " + string(e.Target),
				Cause:    string(e.Cause),
				Evidence: "out for " + e.EjectedFor.String(),
				Expected: "it takes its part of the work again",
			})
		case btroute.Withheld:
			f.decisions.Add(btmetric.Decision{
				Time:     f.clock(),
				Act:      "ejection_withheld",
				Subject:  "target " + string(e.Target),
				Cause:    string(e.Cause),
				Evidence: fmt.Sprintf("%+v", e.Evidence),
				Expected: "it stays in rotation, as the share of ejected targets is at its cap",
			})
		}
	}
}
