package io.kitepath.peers;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobState;
import io.kitepath.core.model.MachineKind;
import java.util.List;

/**
 * The format of the messages between cells; loaded only where there are other cells.
 *
 * <p>The order of the fields in each serializer is part of the protocol; see {@link
 * FieldSerializer} for why it is spelled out.
 */
final class CellMessageSerializers {
    private CellMessageSerializers() {}

    /** Registers the classes, under ids which are part of the protocol. */
    static void register(Kryo kryo) {
        kryo.register(Messages.AskCell.class, new AskCellSerializer(), 36);
        kryo.register(Messages.AnswerCell.class, new AnswerCellSerializer(), 37);
        kryo.register(CellMessage.Elsewhere.class, new ElsewhereSerializer(), 38);
        kryo.register(CellMessage.Room.class, new RoomSerializer(), 39);
        kryo.register(CellMessage.Summary.class, new SummarySerializer(), 40);
        kryo.register(CellMessage.Offer.class, new OfferSerializer(), 41);
        kryo.register(CellMessage.Recall.class, new RecallSerializer(), 42);
        kryo.register(CellMessage.Standing.class, 43);
        kryo.register(CellMessage.Word.class, new WordSerializer(), 44);
        kryo.register(CellMessage.Settled.class, new SettledSerializer(), 45);
        kryo.register(CellMessage.UserAsk.class, new UserAskSerializer(), 46);
        kryo.register(CellMessage.Wish.class, 47);
        kryo.register(CellMessage.UserAnswer.class, new UserAnswerSerializer(), 48);
        kryo.register(JobSpec.class, new JobSpecSerializer(), 49);
        kryo.register(JobSpec.Shape.class, 50);
        kryo.register(JobSpec.Priority.class, 51);
        kryo.register(MachineKind.class, new MachineKindSerializer(), 52);
        kryo.register(byte[].class, new BoundedSerializers.OfBytes(), 53);
        kryo.register(CellMessage.Share.class, new ShareSerializer(), 54);
        kryo.register(CellMessage.Grant.class, new GrantSerializer(), 55);
        kryo.register(CellMessage.Granted.class, new GrantedSerializer(), 56);
    }

    private static final class AskCellSerializer extends FieldSerializer<Messages.AskCell> {
        @Override
        public void write(Kryo kryo, Output output, Messages.AskCell ask) {
            kryo.writeClassAndObject(output, ask.message());
            writeLong(output, ask.number());
        }

        @Override
        public Messages.AskCell read(
                Kryo kryo, Input input, Class<? extends Messages.AskCell> type) {
            CellMessage message = (CellMessage) kryo.readClassAndObject(input);
            long number = readLong(input);
            return new Messages.AskCell(number, message);
        }
    }

    private static final class AnswerCellSerializer extends FieldSerializer<Messages.AnswerCell> {
        @Override
        public void write(Kryo kryo, Output output, Messages.AnswerCell answer) {
            kryo.writeClassAndObject(output, answer.message());
            writeLong(output, answer.number());
        }

        @Override
        public Messages.AnswerCell read(
                Kryo kryo, Input input, Class<? extends Messages.AnswerCell> type) {
            CellMessage message = (CellMessage) kryo.readClassAndObject(input);
            long number = readLong(input);
            return new Messages.AnswerCell(number, message);
        }
    }

    private static final class ElsewhereSerializer extends FieldSerializer<CellMessage.Elsewhere> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.Elsewhere elsewhere) {
            output.writeString(elsewhere.node());
        }

        @Override
        public CellMessage.Elsewhere read(
                Kryo kryo, Input input, Class<? extends CellMessage.Elsewhere> type) {
            String node = input.readString();
            return new CellMessage.Elsewhere(node);
        }
    }

    private static final class RoomSerializer extends FieldSerializer<CellMessage.Room> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.Room room) {
            output.writeDouble(room.cpus());
            output.writeDouble(room.gpus());
            writeInt(output, room.idle());
            kryo.writeObjectOrNull(output, room.kind(), MachineKind.class);
            output.writeDouble(room.memoryGb());
        }

        @Override
        public CellMessage.Room read(
                Kryo kryo, Input input, Class<? extends CellMessage.Room> type) {
            double cpus = input.readDouble();
            double gpus = input.readDouble();
            int idle = readInt(input);
            MachineKind kind = kryo.readObjectOrNull(input, MachineKind.class);
            double memoryGb = input.readDouble();
            return new CellMessage.Room(kind, cpus, gpus, memoryGb, idle);
        }
    }

    private static final class SummarySerializer extends FieldSerializer<CellMessage.Summary> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.Summary summary) {
            output.writeString(summary.cell());
            writeList(kryo, output, summary.hears());
            output.writeString(summary.leader());
            writeList(kryo, output, summary.room());
            writeList(kryo, output, summary.shares());
            output.writeBoolean(summary.takes());
            writeLong(output, summary.version());
            writeList(kryo, output, summary.waitS());
        }

        @Override
        public CellMessage.Summary read(
                Kryo kryo, Input input, Class<? extends CellMessage.Summary> type) {
            String cell = input.readString();
            List<String> hears = readList(kryo, input, String.class);
            String leader = input.readString();
            List<CellMessage.Room> room = readList(kryo, input, CellMessage.Room.class);
            List<CellMessage.Share> shares = readList(kryo, input, CellMessage.Share.class);
            boolean takes = input.readBoolean();
            long version = readLong(input);
            List<Double> waitS = readList(kryo, input, Double.class);
            return new CellMessage.Summary(
                    cell, leader, version, takes, room, waitS, hears, shares);
        }
    }

    private static final class OfferSerializer extends FieldSerializer<CellMessage.Offer> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.Offer offer) {
            writeLong(output, offer.floor());
            writeInt(output, offer.from());
            output.writeString(offer.home());
            kryo.writeObjectOrNull(output, offer.job(), JobSpec.class);
            writeLong(output, offer.next());
            writeLong(output, offer.number());
            output.writeDouble(offer.submittedMs());
            writeInt(output, offer.until());
        }

        @Override
        public CellMessage.Offer read(
                Kryo kryo, Input input, Class<? extends CellMessage.Offer> type) {
            long floor = readLong(input);
            int from = readInt(input);
            String home = input.readString();
            JobSpec job = kryo.readObjectOrNull(input, JobSpec.class);
            long next = readLong(input);
            long number = readLong(input);
            double submittedMs = input.readDouble();
            int until = readInt(input);
            return new CellMessage.Offer(home, number, floor, job, submittedMs, from, until, next);
        }
    }

    private static final class RecallSerializer extends FieldSerializer<CellMessage.Recall> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.Recall recall) {
            writeLong(output, recall.floor());
            output.writeString(recall.home());
            output.writeBoolean(recall.kill());
            writeLong(output, recall.number());
        }

        @Override
        public CellMessage.Recall read(
                Kryo kryo, Input input, Class<? extends CellMessage.Recall> type) {
            long floor = readLong(input);
            String home = input.readString();
            boolean kill = input.readBoolean();
            long number = readLong(input);
            return new CellMessage.Recall(home, number, floor, kill);
        }
    }

    private static final class WordSerializer extends FieldSerializer<CellMessage.Word> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.Word word) {
            output.writeString(word.cell());
            kryo.writeObjectOrNull(output, word.done(), byte[].class);
            writeLong(output, word.next());
            writeLong(output, word.number());
            kryo.writeObjectOrNull(output, word.standing(), CellMessage.Standing.class);
        }

        @Override
        public CellMessage.Word read(
                Kryo kryo, Input input, Class<? extends CellMessage.Word> type) {
            String cell = input.readString();
            byte[] done = kryo.readObjectOrNull(input, byte[].class);
            long next = readLong(input);
            long number = readLong(input);
            CellMessage.Standing standing =
                    kryo.readObjectOrNull(input, CellMessage.Standing.class);
            return new CellMessage.Word(cell, number, standing, done, next);
        }
    }

    private static final class SettledSerializer extends FieldSerializer<CellMessage.Settled> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.Settled settled) {
            writeLong(output, settled.floor());
            writeLong(output, settled.number());
        }

        @Override
        public CellMessage.Settled read(
                Kryo kryo, Input input, Class<? extends CellMessage.Settled> type) {
            long floor = readLong(input);
            long number = readLong(input);
            return new CellMessage.Settled(number, floor);
        }
    }

    private static final class UserAskSerializer extends FieldSerializer<CellMessage.UserAsk> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.UserAsk ask) {
            output.writeString(ask.id());
            kryo.writeObjectOrNull(output, ask.job(), JobSpec.class);
            kryo.writeObjectOrNull(output, ask.wish(), CellMessage.Wish.class);
        }

        @Override
        public CellMessage.UserAsk read(
                Kryo kryo, Input input, Class<? extends CellMessage.UserAsk> type) {
            String id = input.readString();
            JobSpec job = kryo.readObjectOrNull(input, JobSpec.class);
            CellMessage.Wish wish = kryo.readObjectOrNull(input, CellMessage.Wish.class);
            return new CellMessage.UserAsk(wish, id, job);
        }
    }

    private static final class UserAnswerSerializer
            extends FieldSerializer<CellMessage.UserAnswer> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.UserAnswer answer) {
            kryo.writeObjectOrNull(output, answer.state(), JobState.class);
            output.writeString(answer.verdict());
        }

        @Override
        public CellMessage.UserAnswer read(
                Kryo kryo, Input input, Class<? extends CellMessage.UserAnswer> type) {
            JobState state = kryo.readObjectOrNull(input, JobState.class);
            String verdict = input.readString();
            return new CellMessage.UserAnswer(verdict, state);
        }
    }

    private static final class JobSpecSerializer extends FieldSerializer<JobSpec> {
        @Override
        public void write(Kryo kryo, Output output, JobSpec job) {
            output.writeDouble(job.checkpointS());
            output.writeDouble(job.cpus());
            kryo.writeObjectOrNull(output, job.deadlineS(), Double.class);
            output.writeDouble(job.estimateS());
            output.writeDouble(job.gpus());
            output.writeString(job.id());
            output.writeString(job.image());
            output.writeDouble(job.imageGb());
            output.writeString(job.jobClass());
            output.writeDouble(job.memoryGb());
            output.writeBoolean(job.oneZone());
            kryo.writeObjectOrNull(output, job.priority(), JobSpec.Priority.class);
            output.writeDouble(job.saveS());
            kryo.writeObjectOrNull(output, job.shape(), JobSpec.Shape.class);
            output.writeBoolean(job.spot());
            output.writeBoolean(job.spread());
            writeInt(output, job.tasks());
            output.writeString(job.team());
            writeListOrNull(kryo, output, job.types());
            output.writeString(job.zone());
        }

        @Override
        public JobSpec read(Kryo kryo, Input input, Class<? extends JobSpec> type) {
            double checkpointS = input.readDouble();
            double cpus = input.readDouble();
            Double deadlineS = kryo.readObjectOrNull(input, Double.class);
            double estimateS = input.readDouble();
            double gpus = input.readDouble();
            String id = input.readString();
            String image = input.readString();
            double imageGb = input.readDouble();
            String jobClass = input.readString();
            double memoryGb = input.readDouble();
            boolean oneZone = input.readBoolean();
            JobSpec.Priority priority = kryo.readObjectOrNull(input, JobSpec.Priority.class);
            double saveS = input.readDouble();
            JobSpec.Shape shape = kryo.readObjectOrNull(input, JobSpec.Shape.class);
            boolean spot = input.readBoolean();
            boolean spread = input.readBoolean();
            int tasks = readInt(input);
            String team = input.readString();
            List<String> types = readListOrNull(kryo, input, String.class);
            String zone = input.readString();
            return new JobSpec(
                    id,
                    jobClass,
                    team,
                    shape,
                    priority,
                    tasks,
                    cpus,
                    gpus,
                    memoryGb,
                    types,
                    zone,
                    oneZone,
                    spread,
                    spot,
                    image,
                    imageGb,
                    estimateS,
                    checkpointS,
                    saveS,
                    deadlineS);
        }
    }

    private static final class MachineKindSerializer extends FieldSerializer<MachineKind> {
        @Override
        public void write(Kryo kryo, Output output, MachineKind kind) {
            output.writeBoolean(kind.spot());
            output.writeString(kind.type());
            output.writeString(kind.zone());
        }

        @Override
        public MachineKind read(Kryo kryo, Input input, Class<? extends MachineKind> recordClass) {
            boolean spot = input.readBoolean();
            String type = input.readString();
            String zone = input.readString();
            return new MachineKind(type, zone, spot);
        }
    }

    private static final class ShareSerializer extends FieldSerializer<CellMessage.Share> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.Share share) {
            writeLong(output, share.head());
            writeLong(output, share.holds());
            writeInt(output, share.kind());
            output.writeDouble(share.since());
            writeLong(output, share.task());
            output.writeString(share.team());
            writeLong(output, share.used());
            writeLong(output, share.wants());
        }

        @Override
        public CellMessage.Share read(
                Kryo kryo, Input input, Class<? extends CellMessage.Share> type) {
            long head = readLong(input);
            long holds = readLong(input);
            int kind = readInt(input);
            double since = input.readDouble();
            long task = readLong(input);
            String team = input.readString();
            long used = readLong(input);
            long wants = readLong(input);
            return new CellMessage.Share(team, kind, holds, used, wants, head, task, since);
        }
    }

    private static final class GrantSerializer extends FieldSerializer<CellMessage.Grant> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.Grant grant) {
            writeLong(output, grant.amount());
            writeLong(output, grant.floor());
            output.writeString(grant.from());
            writeInt(output, grant.kind());
            writeLong(output, grant.number());
            output.writeString(grant.team());
        }

        @Override
        public CellMessage.Grant read(
                Kryo kryo, Input input, Class<? extends CellMessage.Grant> type) {
            long amount = readLong(input);
            long floor = readLong(input);
            String from = input.readString();
            int kind = readInt(input);
            long number = readLong(input);
            String team = input.readString();
            return new CellMessage.Grant(from, number, floor, team, kind, amount);
        }
    }

    private static final class GrantedSerializer extends FieldSerializer<CellMessage.Granted> {
        @Override
        public void write(Kryo kryo, Output output, CellMessage.Granted granted) {
            writeLong(output, granted.number());
        }

        @Override
        public CellMessage.Granted read(
                Kryo kryo, Input input, Class<? extends CellMessage.Granted> type) {
            long number = readLong(input);
            return new CellMessage.Granted(number);
        }
    }
}
