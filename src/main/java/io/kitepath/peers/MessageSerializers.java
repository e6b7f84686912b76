package io.kitepath.peers;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import io.kitepath.core.model.HeartbeatAnswer;
import io.kitepath.core.model.JobState;
import io.kitepath.core.model.Order;
import io.kitepath.core.model.Progress;
import io.kitepath.core.model.Report;
import java.util.ArrayList;
import java.util.List;

/**
 * The format of the messages between the nodes of one cell.
 *
 * <p>The order of the fields in each serializer is part of the protocol; see {@link
 * FieldSerializer} for why it is spelled out.
 */
final class MessageSerializers {
    private MessageSerializers() {}

    /** Registers the classes, under ids which are part of the protocol. */
    static void register(Kryo kryo) {
        kryo.register(Messages.View.class, new ViewSerializer(), 20);
        kryo.register(Messages.Over.class, new OverSerializer(), 21);
        kryo.register(Messages.Ask.class, new AskSerializer(), 22);
        kryo.register(Messages.Answer.class, new AnswerSerializer(), 23);
        kryo.register(Report.class, new ReportSerializer(), 24);
        kryo.register(Report.TaskReport.class, new TaskReportSerializer(), 25);
        kryo.register(Report.State.class, 26);
        kryo.register(Report.Cause.class, 27);
        kryo.register(HeartbeatAnswer.class, new HeartbeatAnswerSerializer(), 28);
        kryo.register(Order.class, new OrderSerializer(), 29);
        kryo.register(Order.Verb.class, 30);
        kryo.register(ArrayList.class, new BoundedSerializers.OfLists(), 31);
        kryo.register(Messages.AskProgress.class, new AskProgressSerializer(), 32);
        kryo.register(Messages.AnswerProgress.class, new AnswerProgressSerializer(), 33);
        kryo.register(Progress.class, new ProgressSerializer(), 34);
        kryo.register(JobState.class, new JobStateSerializer(), 35);
        // Ids from 36 on belong to CellMessageSerializers; those from 100 on to what came later.
        kryo.register(Messages.Digest.class, new DigestSerializer(), 100);
    }

    private static final class ViewSerializer extends FieldSerializer<Messages.View> {
        @Override
        public void write(Kryo kryo, Output output, Messages.View view) {
            output.writeString(view.by());
            output.writeBoolean(view.leads());
            output.writeBoolean(view.served());
            writeLong(output, view.token());
        }

        @Override
        public Messages.View read(Kryo kryo, Input input, Class<? extends Messages.View> type) {
            String by = input.readString();
            boolean leads = input.readBoolean();
            boolean served = input.readBoolean();
            long token = readLong(input);
            return new Messages.View(by, token, leads, served);
        }
    }

    private static final class OverSerializer extends FieldSerializer<Messages.Over> {
        @Override
        public void write(Kryo kryo, Output output, Messages.Over over) {
            kryo.writeObjectOrNull(output, over.job(), JobState.class);
        }

        @Override
        public Messages.Over read(Kryo kryo, Input input, Class<? extends Messages.Over> type) {
            JobState job = kryo.readObjectOrNull(input, JobState.class);
            return new Messages.Over(job);
        }
    }

    private static final class AskSerializer extends FieldSerializer<Messages.Ask> {
        @Override
        public void write(Kryo kryo, Output output, Messages.Ask ask) {
            writeLong(output, ask.number());
            output.writeBoolean(ask.passOn());
            kryo.writeObjectOrNull(output, ask.report(), Report.class);
        }

        @Override
        public Messages.Ask read(Kryo kryo, Input input, Class<? extends Messages.Ask> type) {
            long number = readLong(input);
            boolean passOn = input.readBoolean();
            Report report = kryo.readObjectOrNull(input, Report.class);
            return new Messages.Ask(number, report, passOn);
        }
    }

    private static final class AnswerSerializer extends FieldSerializer<Messages.Answer> {
        @Override
        public void write(Kryo kryo, Output output, Messages.Answer answer) {
            kryo.writeObjectOrNull(output, answer.heartbeat(), HeartbeatAnswer.class);
            writeLong(output, answer.number());
        }

        @Override
        public Messages.Answer read(Kryo kryo, Input input, Class<? extends Messages.Answer> type) {
            HeartbeatAnswer heartbeat = kryo.readObjectOrNull(input, HeartbeatAnswer.class);
            long number = readLong(input);
            return new Messages.Answer(number, heartbeat);
        }
    }

    private static final class ReportSerializer extends FieldSerializer<Report> {
        @Override
        public void write(Kryo kryo, Output output, Report report) {
            output.writeString(report.address());
            output.writeString(report.machine());
            kryo.writeObjectOrNull(output, report.noticeS(), Double.class);
            writeLong(output, report.sequence());
            writeLong(output, report.session());
            output.writeBoolean(report.spot());
            writeList(kryo, output, report.tasks());
            writeLong(output, report.token());
            output.writeString(report.type());
            output.writeString(report.zone());
        }

        @Override
        public Report read(Kryo kryo, Input input, Class<? extends Report> recordClass) {
            String address = input.readString();
            String machine = input.readString();
            Double noticeS = kryo.readObjectOrNull(input, Double.class);
            long sequence = readLong(input);
            long session = readLong(input);
            boolean spot = input.readBoolean();
            List<Report.TaskReport> tasks = readList(kryo, input, Report.TaskReport.class);
            long token = readLong(input);
            String type = input.readString();
            String zone = input.readString();
            return new Report(
                    machine, address, type, zone, spot, session, sequence, token, noticeS, tasks);
        }
    }

    private static final class TaskReportSerializer extends FieldSerializer<Report.TaskReport> {
        @Override
        public void write(Kryo kryo, Output output, Report.TaskReport report) {
            writeLong(output, report.attempt());
            kryo.writeObjectOrNull(output, report.cause(), Report.Cause.class);
            output.writeString(report.job());
            kryo.writeObjectOrNull(output, report.state(), Report.State.class);
            writeInt(output, report.task());
        }

        @Override
        public Report.TaskReport read(
                Kryo kryo, Input input, Class<? extends Report.TaskReport> type) {
            long attempt = readLong(input);
            Report.Cause cause = kryo.readObjectOrNull(input, Report.Cause.class);
            String job = input.readString();
            Report.State state = kryo.readObjectOrNull(input, Report.State.class);
            int task = readInt(input);
            return new Report.TaskReport(job, task, attempt, state, cause);
        }
    }

    private static final class HeartbeatAnswerSerializer extends FieldSerializer<HeartbeatAnswer> {
        @Override
        public void write(Kryo kryo, Output output, HeartbeatAnswer answer) {
            output.writeString(answer.anchor());
            writeList(kryo, output, answer.orders());
            writeLong(output, answer.token());
        }

        @Override
        public HeartbeatAnswer read(Kryo kryo, Input input, Class<? extends HeartbeatAnswer> type) {
            String anchor = input.readString();
            List<Order> orders = readList(kryo, input, Order.class);
            long token = readLong(input);
            return new HeartbeatAnswer(token, orders, anchor);
        }
    }

    private static final class OrderSerializer extends FieldSerializer<Order> {
        @Override
        public void write(Kryo kryo, Output output, Order order) {
            writeLong(output, order.attempt());
            output.writeDouble(order.graceS());
            output.writeString(order.job());
            writeInt(output, order.task());
            kryo.writeObjectOrNull(output, order.verb(), Order.Verb.class);
        }

        @Override
        public Order read(Kryo kryo, Input input, Class<? extends Order> type) {
            long attempt = readLong(input);
            double graceS = input.readDouble();
            String job = input.readString();
            int task = readInt(input);
            Order.Verb verb = kryo.readObjectOrNull(input, Order.Verb.class);
            return new Order(verb, job, task, attempt, graceS);
        }
    }

    private static final class AskProgressSerializer extends FieldSerializer<Messages.AskProgress> {
        @Override
        public void write(Kryo kryo, Output output, Messages.AskProgress ask) {
            writeList(kryo, output, ask.jobs());
            writeLong(output, ask.number());
        }

        @Override
        public Messages.AskProgress read(
                Kryo kryo, Input input, Class<? extends Messages.AskProgress> type) {
            List<String> jobs = readList(kryo, input, String.class);
            long number = readLong(input);
            return new Messages.AskProgress(number, jobs);
        }
    }

    private static final class AnswerProgressSerializer
            extends FieldSerializer<Messages.AnswerProgress> {
        @Override
        public void write(Kryo kryo, Output output, Messages.AnswerProgress answer) {
            writeLong(output, answer.number());
            writeList(kryo, output, answer.progress());
        }

        @Override
        public Messages.AnswerProgress read(
                Kryo kryo, Input input, Class<? extends Messages.AnswerProgress> type) {
            long number = readLong(input);
            List<Progress> progress = readList(kryo, input, Progress.class);
            return new Messages.AnswerProgress(number, progress);
        }
    }

    private static final class ProgressSerializer extends FieldSerializer<Progress> {
        @Override
        public void write(Kryo kryo, Output output, Progress progress) {
            writeInt(output, progress.done());
            output.writeString(progress.job());
            output.writeString(progress.note());
            writeInt(output, progress.running());
        }

        @Override
        public Progress read(Kryo kryo, Input input, Class<? extends Progress> type) {
            int done = readInt(input);
            String job = input.readString();
            String note = input.readString();
            int running = readInt(input);
            return new Progress(job, done, running, note);
        }
    }

    private static final class JobStateSerializer extends FieldSerializer<JobState> {
        @Override
        public void write(Kryo kryo, Output output, JobState state) {
            writeInt(output, state.done());
            output.writeString(state.id());
            output.writeString(state.note());
            writeInt(output, state.running());
            output.writeString(state.status());
        }

        @Override
        public JobState read(Kryo kryo, Input input, Class<? extends JobState> type) {
            int done = readInt(input);
            String id = input.readString();
            String note = input.readString();
            int running = readInt(input);
            String status = input.readString();
            return new JobState(id, status, done, running, note);
        }
    }

    private static final class DigestSerializer extends FieldSerializer<Messages.Digest> {
        @Override
        public void write(Kryo kryo, Output output, Messages.Digest digest) {
            output.writeString(digest.by());
            writeList(kryo, output, digest.jobs());
            output.writeDouble(digest.sinceMs());
            output.writeDouble(digest.untilMs());
        }

        @Override
        public Messages.Digest read(Kryo kryo, Input input, Class<? extends Messages.Digest> type) {
            String by = input.readString();
            List<String> jobs = readList(kryo, input, String.class);
            double sinceMs = input.readDouble();
            double untilMs = input.readDouble();
            return new Messages.Digest(by, sinceMs, untilMs, jobs);
        }
    }
}
