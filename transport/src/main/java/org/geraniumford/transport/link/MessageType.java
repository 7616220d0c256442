package org.geraniumford.transport.link;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.geraniumford.core.wire.Message;

/** The message types and their numeric codes on the wire. A code is never reused for another type. */
enum MessageType {
    HELLO(1, Message.Hello.class),
    SIDECAR_STATE(2, Message.SidecarState.class),
    PING(3, Message.Ping.class),
    PONG(4, Message.Pong.class),
    PROBE(10, Message.Probe.class),
    PROBE_RESPONSE(11, Message.ProbeResponse.class),
    SUBMIT(20, Message.Submit.class),
    STARTED(21, Message.Started.class),
    CHUNK(22, Message.Chunk.class),
    END(23, Message.End.class),
    REFUSED(24, Message.Refused.class),
    CREDIT(25, Message.Credit.class),
    CANCEL(26, Message.Cancel.class),
    CALL(30, Message.Call.class),
    CALL_RESPONSE(31, Message.CallResponse.class),
    CLOSE_TOKEN(32, Message.CloseToken.class),
    CLOSE_TOKEN_RESPONSE(33, Message.CloseTokenResponse.class),
    CONFIGURATION_REQUEST(40, Message.ConfigurationRequest.class),
    CONFIGURATION_RESPONSE(41, Message.ConfigurationResponse.class),
    CONFIGURATION_DELTA(42, Message.ConfigurationDelta.class),
    DRAIN(50, Message.Drain.class),
    STATUS_REQUEST(51, Message.StatusRequest.class),
    STATUS_RESPONSE(52, Message.StatusResponse.class),
    LIMIT_USAGE_REPORT(60, Message.LimitUsageReport.class),
    LIMIT_GRANT(61, Message.LimitGrant.class),
    HOST_LIST_REQUEST(70, Message.HostListRequest.class),
    HOST_LIST_RESPONSE(71, Message.HostListResponse.class),
    GOSSIP(80, Message.Gossip.class);

    private static final Map<Integer, MessageType> BY_CODE =
            Arrays.stream(values()).collect(Collectors.toUnmodifiableMap(MessageType::code, Function.identity()));
    private static final Map<Class<?>, MessageType> BY_CLASS = Arrays.stream(values())
            .collect(Collectors.toUnmodifiableMap(type -> type.messageClass, Function.identity()));
    private static final Map<MessageType, RecordCodec<? extends Message>> CODECS = Arrays.stream(values())
            .collect(Collectors.toUnmodifiableMap(Function.identity(), type -> RecordCodec.of(type.messageClass)));

    private final int code;
    private final Class<? extends Message> messageClass;

    MessageType(int code, Class<? extends Message> messageClass) {
        this.code = code;
        this.messageClass = messageClass;
    }

    // -- construction

    static Optional<MessageType> ofCode(int code) {
        return Optional.ofNullable(BY_CODE.get(code));
    }

    static MessageType of(Message message) {
        return BY_CLASS.get(message.getClass());
    }

    // -- queries

    int code() {
        return code;
    }

    RecordCodec<? extends Message> codec() {
        return CODECS.get(this);
    }
}
