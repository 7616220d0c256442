package org.geraniumford.core.request;

import java.util.List;
import java.util.stream.Stream;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;

/** A fault of an attempt, which determines at which steps it may occur and which frames still arrive. */
enum Fault {
    PROBE_LOST {
        @Override
        boolean appliesAt(AttemptStep step) {
            return step == AttemptStep.PROBE;
        }
    },
    SUBMIT_NOT_WRITTEN {
        @Override
        boolean appliesAt(AttemptStep step) {
            return step == AttemptStep.SUBMIT;
        }
    },
    ENGINE_RESTARTED {
        @Override
        boolean appliesAt(AttemptStep step) {
            return step == AttemptStep.SUBMIT;
        }

        @Override
        List<Message> receivedFrames(List<Message> frames, int faultIndex, AttemptId id) {
            Refusal refusal = Refusal.notRun(Reason.STALE_INCARNATION, "");
            return List.of(new Message.Refused(id, refusal));
        }
    },
    LINK_LOST,
    BROKEN_FRAME,
    /** The host sends nothing more, not even pongs. */
    FROZEN,
    /** The host sends no pongs, and the remaining frames arrive late. */
    FROZEN_THEN_RESUMED,
    REFUSED {
        @Override
        List<Message> receivedFrames(List<Message> frames, int faultIndex, AttemptId id) {
            Refusal refusal = Refusal.of(Reason.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, "");
            return Stream.concat(frames.subList(0, faultIndex).stream(), Stream.of(new Message.Refused(id, refusal)))
                    .toList();
        }
    },
    WRONG_WEIGHTS {
        @Override
        boolean appliesAt(AttemptStep step) {
            return step == AttemptStep.ADMIT;
        }

        @Override
        List<Message> receivedFrames(List<Message> frames, int faultIndex, AttemptId id) {
            Message wrongStarted = new Message.Started(id, 1, "w0", 0);
            return Stream.concat(
                            Stream.of(wrongStarted), frames.stream().skip(1).map(Fault::fromOtherWeights))
                    .toList();
        }
    },
    FRAME_MISSING {
        @Override
        boolean appliesAt(AttemptStep step) {
            return step.compareTo(AttemptStep.ADMIT) >= 0;
        }

        @Override
        List<Message> receivedFrames(List<Message> frames, int faultIndex, AttemptId id) {
            return Stream.concat(
                            frames.subList(0, faultIndex).stream(),
                            frames.subList(faultIndex + 1, frames.size()).stream())
                    .toList();
        }
    },
    FRAMES_DUPLICATED {
        @Override
        boolean appliesAt(AttemptStep step) {
            return step.compareTo(AttemptStep.ADMIT) >= 0;
        }

        @Override
        List<Message> receivedFrames(List<Message> frames, int faultIndex, AttemptId id) {
            return Stream.of(
                            frames.subList(0, faultIndex + 1),
                            frames.subList(0, faultIndex + 1),
                            frames.subList(faultIndex + 1, frames.size()))
                    .flatMap(List::stream)
                    .toList();
        }
    },
    FRAMES_OF_ANOTHER_REQUEST {
        @Override
        boolean appliesAt(AttemptStep step) {
            return step.compareTo(AttemptStep.ADMIT) >= 0;
        }

        @Override
        List<Message> receivedFrames(List<Message> frames, int faultIndex, AttemptId id) {
            AttemptId other = new AttemptId("other", id.number());
            Stream<Message> foreignFrames = Stream.of(
                    new Message.Started(other, 1, "w0", 0),
                    new Message.Chunk(other, 0, List.of("wrong")),
                    new Message.End(other, 1, "stop", 1, 0),
                    new Message.Refused(other, Refusal.notRun(Reason.QUEUE_FULL, "")));
            return Stream.of(
                            frames.subList(0, faultIndex).stream(),
                            foreignFrames,
                            frames.subList(faultIndex, frames.size()).stream())
                    .flatMap(frameStream -> frameStream)
                    .toList();
        }
    },
    ENDED_EARLY {
        @Override
        boolean appliesAt(AttemptStep step) {
            return step == AttemptStep.MID_STREAM;
        }

        @Override
        List<Message> receivedFrames(List<Message> frames, int faultIndex, AttemptId id) {
            return Stream.concat(frames.subList(0, faultIndex).stream(), Stream.of(frames.get(frames.size() - 1)))
                    .toList();
        }
    };

    private static Message fromOtherWeights(Message frame) {
        return frame instanceof Message.Chunk chunk
                ? new Message.Chunk(chunk.id(), chunk.offset(), List.of("wrong"))
                : frame;
    }

    boolean appliesAt(AttemptStep step) {
        return step.compareTo(AttemptStep.SUBMIT) >= 0;
    }

    /**
     * Returns the frames that arrive in place of those of a healthy attempt, if the fault occurs before the frame with
     * index {@code faultIndex}.
     */
    List<Message> receivedFrames(List<Message> frames, int faultIndex, AttemptId id) {
        return frames.subList(0, faultIndex);
    }
}
