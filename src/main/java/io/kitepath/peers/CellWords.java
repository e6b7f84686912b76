package io.kitepath.peers;

import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineKind;
import java.util.ArrayList;

/** What goes between cells, for {@link Messages}; loaded only where there are others. */
final class CellWords {
    private CellWords() {}

    /** In an order that never changes: a class's number is a part of the notation. */
    static Class<?>[] classes() {
        return new Class<?>[] {
            Messages.AskCell.class,
            Messages.AnswerCell.class,
            CellMessage.Redirect.class,
            CellMessage.FreeCapacity.class,
            CellMessage.Summary.class,
            CellMessage.LoanOffer.class,
            CellMessage.LoanRecall.class,
            CellMessage.LoanState.class,
            CellMessage.LoanStatus.class,
            CellMessage.LoanSettled.class,
            CellMessage.UserRequest.class,
            CellMessage.RequestKind.class,
            CellMessage.UserResponse.class,
            JobSpec.class,
            JobSpec.Shape.class,
            JobSpec.Priority.class,
            MachineKind.class,
            byte[].class,
            CellMessage.QuotaShare.class,
            CellMessage.QuotaGrant.class,
            CellMessage.QuotaGrantAccepted.class
        };
    }

    /** Kryo knows one kind of list here. */
    static Object plain(Object message) {
        return message instanceof Messages.AskCell a
                ? new Messages.AskCell(a.number(), plain(a.message()))
                : message instanceof Messages.AnswerCell b
                        ? new Messages.AnswerCell(b.number(), plain(b.message()))
                        : message;
    }

    private static CellMessage plain(CellMessage m) {
        if (m instanceof CellMessage.Summary s) {
            return new CellMessage.Summary(
                    s.cell(),
                    s.leader(),
                    s.version(),
                    s.takes(),
                    new ArrayList<>(s.room()),
                    new ArrayList<>(s.waitS()),
                    new ArrayList<>(s.hears()),
                    new ArrayList<>(s.shares()));
        }
        if (m instanceof CellMessage.LoanOffer o) {
            return new CellMessage.LoanOffer(
                    o.home(),
                    o.number(),
                    o.floor(),
                    plain(o.job()),
                    o.submittedMs(),
                    o.from(),
                    o.until(),
                    o.next());
        }
        if (m instanceof CellMessage.UserRequest u) {
            return new CellMessage.UserRequest(u.wish(), u.id(), plain(u.job()));
        }
        return m;
    }

    private static JobSpec plain(JobSpec s) {
        return s == null || s.types() == null || s.types() instanceof ArrayList
                ? s
                : new JobSpec(
                        s.id(),
                        s.jobClass(),
                        s.team(),
                        s.shape(),
                        s.priority(),
                        s.tasks(),
                        s.cpus(),
                        s.gpus(),
                        s.memoryGb(),
                        new ArrayList<>(s.types()),
                        s.zone(),
                        s.oneZone(),
                        s.spread(),
                        s.spot(),
                        s.image(),
                        s.imageGb(),
                        s.estimateS(),
                        s.checkpointS(),
                        s.saveS(),
                        s.deadlineS());
    }
}
