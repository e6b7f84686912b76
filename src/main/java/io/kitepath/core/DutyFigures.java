package io.kitepath.core;

import io.kitepath.core.duty.Carrier;
import io.kitepath.core.duty.Duties;
import io.kitepath.core.duty.Intents;
import io.kitepath.core.duty.Sweep;
import io.kitepath.core.model.Figure;
import io.kitepath.core.model.Spent;
import io.kitepath.core.model.Spent.On;
import java.util.Locale;
import java.util.Map;

/** What a node counts about duties, takeovers and its own time, for operators. */
record DutyFigures(
        Intents intents,
        Carrier carrier,
        Sweep sweep,
        Duties duties,
        Takeover takeover,
        Spent spent) {
    void addTo(Map<String, Figure> f) {
        f.put(
                "intents.asked",
                Figure.total("rentals and returns put down by this node", intents::asked));
        f.put(
                "intents.taken.over",
                Figure.total(
                        "and those that it took over from earlier holders", intents::takenOver));
        f.put(
                "intents.backlog",
                Figure.now("rentals and returns that the cloud has not settled", intents::backlog));
        f.put(
                "duty.cloud.calls",
                Figure.total(
                        "rentals and returns asked of the cloud by this node", carrier::called));
        f.put(
                "duty.cloud.failed",
                Figure.total("of those, refused or not answered", carrier::failed));
        f.put(
                "duty.fenced",
                Figure.total(
                        "times that nothing was done since the lease of duties was not certain",
                        duties::fenced));
        f.put(
                "cleanup.looks",
                Figure.total(
                        "times that this node looked through the state service", sweep::looks));
        f.put("cleanup.removed", Figure.total("records that it removed there", sweep::removed));
        f.put(
                "cleanup.strange",
                Figure.now("records that should not be, by its last look", sweep::strange));
        for (Duties.Seat d : duties.seats()) {
            f.put(
                    "duty." + d.name() + ".here",
                    Figure.now("whether this node has the duty", () -> d.mine() ? 1 : 0));
            f.put(
                    "duty." + d.name() + ".token",
                    Figure.now("the token of whoever has it", d::token));
            f.put(
                    "duty." + d.name() + ".hand.overs",
                    Figure.total("times that it was seen to change hands", d::handOvers));
        }
        f.put(
                "takeover.read",
                Figure.now(
                        "seconds from winning the lease until the jobs were read",
                        takeover::readS));
        f.put(
                "takeover.reported",
                Figure.now(
                        "seconds from winning the lease until nearly all machines had reported",
                        takeover::mostS));
        for (On on : On.values()) {
            f.put(
                    "time." + on.name().toLowerCase(Locale.ROOT).replace('_', '.'),
                    Figure.total(
                            "seconds of the event loop, by activity", () -> spent.seconds(on)));
        }
    }
}
