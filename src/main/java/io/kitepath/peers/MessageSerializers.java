package io.kitepath.peers;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.model.WorkerCommand;
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
        kryo.register(Heartbeat.class, new ReportSerializer(), 24);
        kryo.register(Heartbeat.TaskStatus.class, new TaskReportSerializer(), 25);
        kryo.register(Heartbeat.TaskState.class, 26);
        kryo.register(Heartbeat.EndCause.class, 27);
        kryo.register(HeartbeatResponse.class, new HeartbeatAnswerSerializer(), 28);
        kryo.register(WorkerCommand.class, new OrderSerializer(), 29);
        kryo.register(WorkerCommand.Action.class, 30);
        kryo.register(ArrayList.class, new BoundedSerializers.OfLists(), 31);
        kryo.register(Messages.AskProgress.class, new AskProgressSerializer(), 32);
        kryo.register(Messages.AnswerProgress.class, new AnswerProgressSerializer(), 33);
        kryo.register(JobProgress.class, new ProgressSerializer(), 34);
        kryo.register(JobStatus.class, new JobStateSerializer(), 35);
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
            kryo.writeObjectOrNull(output, over.job(), JobStatus.class);
        }

        @Override
        public Messages.Over read(Kryo kryo, Input input, Class<? extends Messages.Over> type) {
            JobStatus job = kryo.readObjectOrNull(input, JobStatus.class);
            return new Messages.Over(job);
        }
    }

    private static final class AskSerializer extends FieldSerializer<Messages.Ask> {
        @Override
        public void write(Kryo kryo, Output output, Messages.Ask ask) {
            writeLong(output, ask.number());
            output.writeBoolean(ask.passOn());
            kryo.writeObjectOrNull(output, ask.report(), Heartbeat.class);
        }

        @Override
        public Messages.Ask read(Kryo kryo, Input input, Class<? extends Messages.Ask> type) {
            long number = readLong(input);
            boolean passOn = input.readBoolean();
            Heartbeat heartbeat = kryo.readObjectOrNull(input, Heartbeat.class);
            return new Messages.Ask(number, heartbeat, passOn);
        }
    }

    private static final class AnswerSerializer extends FieldSerializer<Messages.Answer> {
        @Override
        public void write(Kryo kryo, Output output, Messages.Answer answer) {
            kryo.writeObjectOrNull(output, answer.heartbeat(), HeartbeatResponse.class);
            writeLong(output, answer.number());
        }

        @Override
        public Messages.Answer read(Kryo kryo, Input input, Class<? extends Messages.Answer> type) {
            HeartbeatResponse heartbeat = kryo.readObjectOrNull(input, HeartbeatResponse.class);
            long number = readLong(input);
            return new Messages.Answer(number, heartbeat);
        }
    }

    private static final class ReportSerializer extends FieldSerializer<Heartbeat> {
        @Override
        public void write(Kryo kryo, Output output, Heartbeat heartbeat) {
            output.writeString(heartbeat.address());
            output.writeString(heartbeat.machineId());
            kryo.writeObjectOrNull(output, heartbeat.noticeSeconds(), Double.class);
            writeLong(output, heartbeat.sequence());
            writeLong(output, heartbeat.agentIncarnation());
            output.writeBoolean(heartbeat.spot());
            writeList(kryo, output, heartbeat.tasks());
            writeLong(output, heartbeat.fencingToken());
            output.writeString(heartbeat.machineType());
            output.writeString(heartbeat.zone());
        }

        @Override
        public Heartbeat read(Kryo kryo, Input input, Class<? extends Heartbeat> recordClass) {
            String address = input.readString();
            String machine = input.readString();
            Double noticeS = kryo.readObjectOrNull(input, Double.class);
            long sequence = readLong(input);
            long session = readLong(input);
            boolean spot = input.readBoolean();
            List<Heartbeat.TaskStatus> tasks = readList(kryo, input, Heartbeat.TaskStatus.class);
            long token = readLong(input);
            String type = input.readString();
            String zone = input.readString();
            return new Heartbeat(
                    machine, address, type, zone, spot, session, sequence, token, noticeS, tasks);
        }
    }

    private static final class TaskReportSerializer extends FieldSerializer<Heartbeat.TaskStatus> {
        @Override
        public void write(Kryo kryo, Output output, Heartbeat.TaskStatus report) {
            writeLong(output, report.attempt());
            kryo.writeObjectOrNull(output, report.cause(), Heartbeat.EndCause.class);
            output.writeString(report.jobId());
            kryo.writeObjectOrNull(output, report.state(), Heartbeat.TaskState.class);
            writeInt(output, report.task());
        }

        @Override
        public Heartbeat.TaskStatus read(
                Kryo kryo, Input input, Class<? extends Heartbeat.TaskStatus> type) {
            long attempt = readLong(input);
            Heartbeat.EndCause cause = kryo.readObjectOrNull(input, Heartbeat.EndCause.class);
            String jobId = input.readString();
            Heartbeat.TaskState state = kryo.readObjectOrNull(input, Heartbeat.TaskState.class);
            int task = readInt(input);
            return new Heartbeat.TaskStatus(jobId, task, attempt, state, cause);
        }
    }

    private static final class HeartbeatAnswerSerializer
            extends FieldSerializer<HeartbeatResponse> {
        @Override
        public void write(Kryo kryo, Output output, HeartbeatResponse response) {
            output.writeString(response.redirectNode());
            writeList(kryo, output, response.commands());
            writeLong(output, response.fencingToken());
        }

        @Override
        public HeartbeatResponse read(
                Kryo kryo, Input input, Class<? extends HeartbeatResponse> type) {
            String anchor = input.readString();
            List<WorkerCommand> orders = readList(kryo, input, WorkerCommand.class);
            long token = readLong(input);
            return new HeartbeatResponse(token, orders, anchor);
        }
    }

    private static final class OrderSerializer extends FieldSerializer<WorkerCommand> {
        @Override
        public void write(Kryo kryo, Output output, WorkerCommand order) {
            writeLong(output, order.attempt());
            output.writeDouble(order.graceSeconds());
            output.writeString(order.jobId());
            writeInt(output, order.task());
            kryo.writeObjectOrNull(output, order.action(), WorkerCommand.Action.class);
        }

        @Override
        public WorkerCommand read(Kryo kryo, Input input, Class<? extends WorkerCommand> type) {
            long attempt = readLong(input);
            double graceS = input.readDouble();
            String jobId = input.readString();
            int task = readInt(input);
            WorkerCommand.Action action = kryo.readObjectOrNull(input, WorkerCommand.Action.class);
            return new WorkerCommand(action, jobId, task, attempt, graceS);
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
            List<JobProgress> progress = readList(kryo, input, JobProgress.class);
            return new Messages.AnswerProgress(number, progress);
        }
    }

    private static final class ProgressSerializer extends FieldSerializer<JobProgress> {
        @Override
        public void write(Kryo kryo, Output output, JobProgress progress) {
            writeInt(output, progress.doneTaskCount());
            output.writeString(progress.jobId());
            output.writeString(progress.note());
            writeInt(output, progress.runningTaskCount());
        }

        @Override
        public JobProgress read(Kryo kryo, Input input, Class<? extends JobProgress> type) {
            int done = readInt(input);
            String jobId = input.readString();
            String note = input.readString();
            int running = readInt(input);
            return new JobProgress(jobId, done, running, note);
        }
    }

    private static final class JobStateSerializer extends FieldSerializer<JobStatus> {
        @Override
        public void write(Kryo kryo, Output output, JobStatus state) {
            writeInt(output, state.doneTaskCount());
            output.writeString(state.jobId());
            output.writeString(state.note());
            writeInt(output, state.runningTaskCount());
            output.writeString(state.status());
        }

        @Override
        public JobStatus read(Kryo kryo, Input input, Class<? extends JobStatus> type) {
            int done = readInt(input);
            String id = input.readString();
            String note = input.readString();
            int running = readInt(input);
            String status = input.readString();
            return new JobStatus(id, status, done, running, note);
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
