package org.geraniumford.transport.link;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.List;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.geraniumford.core.fleet.CacheGossip;
import org.geraniumford.core.fleet.LeavingServer;
import org.geraniumford.core.fleet.PrefilledSegments;
import org.geraniumford.core.fleet.ScopedSegment;
import org.geraniumford.core.fleet.ServerGossip;
import org.geraniumford.core.fleet.ServerLoad;
import org.geraniumford.core.fleet.SpeedAnnouncement;
import org.geraniumford.core.limits.CustomerUse;
import org.geraniumford.core.limits.LimitOwner;
import org.geraniumford.core.limits.ServerLimitUse;
import org.geraniumford.core.prefix.Block;
import org.geraniumford.core.prefix.BlockKey;
import org.geraniumford.core.prefix.CacheScope;
import org.geraniumford.core.quarantine.QuarantineGossip;
import org.geraniumford.core.quarantine.SuspectSegment;
import org.geraniumford.core.service.ConfirmedConfiguration;
import org.geraniumford.core.service.OperatorGossip;
import org.geraniumford.core.stream.StreamOrigin;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.weights.LeaseSnapshot;
import org.geraniumford.core.weights.PublishedWeights;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.AttemptTokenState;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.core.wire.Role;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

final class FrameCodecTest {
    private static final AttemptId ID = new AttemptId("r-1", 2);

    private static final Message LIMIT_USAGE_REPORT = new Message.LimitUsageReport(
            "customer-with-a-long-name", "entry-410", 1_000_000, 900, 9000, 90_000, 900_000, 64);
    private static final Message LIMIT_GRANT =
            new Message.LimitGrant("customer-with-a-long-name", 100_000, 1_000_000, 64, 5_000_000, 2_000_000);

    // -- names that others choose

    /** Guards against a message that cannot be sent, or not be read, because of a name in it. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                " ",
                "a\nb",
                "\u0000",
                "\u12cb\u120a",
                "\ud83d\ude00",
                "\ud800",
                "\ude00a",
                "\uffff",
                "\uffff%0020"
            })
    void shouldCarryGossipWhateverNamesItHolds(String name) throws Exception {
        Message.Gossip gossip = new Message.Gossip(
                new ServerGossip(
                        false,
                        List.of(new ServerLoad(name, 1, 2, 3)),
                        List.of(),
                        List.of(),
                        List.of(new StreamOrigin(-1, name, name, 2)),
                        List.of()),
                new OperatorGossip(
                        new ConfirmedConfiguration(7, 5, 1), List.of(new PublishedWeights(name, 2, 3, 4, true))),
                new LeaseSnapshot(17, name),
                new CacheGossip(List.of(), List.of()),
                new QuarantineGossip(List.of(), List.of()),
                List.of(new CustomerUse(name, 1, 2, true, 3)));
        Envelope read = FrameCodec.decode(FrameCodec.encode(new Envelope(1, 1, 1, gossip)));
        assertThat(read.message()).isEqualTo(gossip);
    }

    // -- coding

    static List<Message> messages() {
        Block block = new Block(new BlockKey(-1, 7), 4000);
        return List.of(
                new Message.Gossip(
                        new ServerGossip(
                                false,
                                List.of(new ServerLoad("server-1", 3, 27_000, 9000)),
                                List.of(new LeavingServer("server-2", 1_770_000_000_000L)),
                                List.of(new ServerLimitUse(
                                        "server-3", 1_770_000_000_000L, 2_100_000, 86_400_000L, 7, -5)),
                                List.of(new StreamOrigin(Long.MIN_VALUE, "service", "v1.1", 86_400_000L)),
                                List.of(new SpeedAnnouncement("server-1", 3, 30_900, 6170, 0, 7, 4250))),
                        new OperatorGossip(
                                new ConfirmedConfiguration(9, 86_400_000_000L, 700),
                                List.of(new PublishedWeights("model", 2, 86_400_000_000L, 1500, true))),
                        new LeaseSnapshot(17, "1 host-a 5"),
                        new CacheGossip(
                                List.of(Long.MIN_VALUE, 5L),
                                List.of(new PrefilledSegments("server-1", List.of(new ScopedSegment(-7, 3780))))),
                        new QuarantineGossip(
                                List.of(new SuspectSegment(-9, 3, 1, 1500, List.of(Long.MAX_VALUE, 2L))), List.of(-9L)),
                        List.of(new CustomerUse("customer-1", 1_200_000, -5_000_000, true, 3))),
                new Message.Hello("entry-1", Role.ENTRY, "kigali-a", ""),
                new Message.SidecarState("", "draft-2", "abc", 3, true, 12),
                new Message.Probe(1, "abc", List.of(-5L, Long.MAX_VALUE)),
                new Message.Submit(
                        ID,
                        "draft",
                        new CacheScope("amahoro", "abc", ""),
                        "check",
                        1,
                        4,
                        2_000_000,
                        9,
                        List.of(block),
                        "Muraho \uD83D\uDE00",
                        64,
                        3,
                        256),
                new Message.Chunk(ID, 5, List.of("a", "")),
                new Message.Refused(
                        ID, new Refusal(Reason.QUEUE_FULL, Verdict.NOT_RUN, "no room", Duration.ofMillis(250))),
                new Message.ConfigurationDelta(0, 9, "abc", "[+customer a]\n+weight = 2\n"),
                LIMIT_USAGE_REPORT,
                LIMIT_GRANT,
                new Message.CloseTokenResponse(4, AttemptTokenState.CLOSED));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void shouldReturnAnEqualEnvelopeWhenAnEncodedOneIsDecoded(Message message) throws BrokenFrameException {
        Envelope envelope = new Envelope(1_700_000_000_000_000L, 3, 8, message);
        assertThat(FrameCodec.decode(FrameCodec.encode(envelope))).isEqualTo(envelope);
    }

    /**
     * {@link LimitOwner} derives its report interval from {@link LimitOwner#EXCHANGE_BYTES}. If a report and its grant
     * were larger, they would exceed {@link LimitOwner#REPORT_BYTES_PER_SECOND}.
     */
    @Test
    void shouldFitInTheExchangeBytesWhenAUsageReportAndItsGrantAreSent() throws BrokenFrameException {
        int tcpAndIpHeaderBytes = 2 * 40;
        int lengthFieldBytes = 2 * 4;
        int frameBytes = FrameCodec.encode(new Envelope(1_700_000_000_000_000L, 1000, 1000, LIMIT_USAGE_REPORT)).length
                + FrameCodec.encode(new Envelope(1_700_000_000_000_000L, 1000, 1000, LIMIT_GRANT)).length;
        assertThat((long) frameBytes + lengthFieldBytes + tcpAndIpHeaderBytes)
                .isLessThanOrEqualTo(LimitOwner.EXCHANGE_BYTES);
    }

    /** Guards against gossip about suspect segments that small hosts and links between failure domains pay for. */
    @Test
    void shouldTakeAtMostEightKilobytesToAnnounceAsManySuspectSegmentsAsAnEntryDoes() throws BrokenFrameException {
        List<Long> servers = LongStream.range(0, 8)
                .mapToObj(server -> Long.MIN_VALUE + server)
                .toList();
        List<SuspectSegment> suspects = LongStream.range(0, 64)
                .mapToObj(segment -> new SuspectSegment(Long.MIN_VALUE + segment, 1000, 1, 172_800_000, servers))
                .toList();
        Message.Gossip gossip = new Message.Gossip(
                ServerGossip.empty(),
                OperatorGossip.empty(),
                LeaseSnapshot.empty(),
                new CacheGossip(List.of(), List.of()),
                new QuarantineGossip(suspects, List.of()),
                List.of());
        assertThat(FrameCodec.encode(new Envelope(1, 1, 1, gossip))).hasSizeLessThanOrEqualTo(8192);
    }

    @ParameterizedTest
    @MethodSource("messages")
    void shouldFailWithBrokenFrameExceptionWhenAFrameIsTruncatedAnywhere(Message message) throws BrokenFrameException {
        byte[] frame = FrameCodec.encode(new Envelope(1, 1, 1, message));
        for (int length = 0; length < frame.length; length++) {
            byte[] truncated = java.util.Arrays.copyOf(frame, length);
            assertThatThrownBy(() -> FrameCodec.decode(truncated)).isInstanceOf(BrokenFrameException.class);
        }
    }

    @Property(seed = "41", tries = 2000)
    void shouldDecodeOrFailWithBrokenFrameExceptionWhenTheFrameHoldsArbitraryBytes(@ForAll byte[] frame) {
        try {
            assertThat(FrameCodec.decode(frame)).isNotNull();
        } catch (BrokenFrameException expected) {
            assertThat(expected).hasMessageNotContaining("null");
        }
    }
}
