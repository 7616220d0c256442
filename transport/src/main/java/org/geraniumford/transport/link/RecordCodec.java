package org.geraniumford.transport.link;

import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.geraniumford.core.text.Utf8Text;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes a record as the sequence of its fields without an array header, and decodes it with its constructor, which
 * checks the values. Supports strings, {@code int}, {@code long}, {@code boolean}, enums, durations in whole
 * milliseconds, nested records and lists of these.
 *
 * @param <T> the record's type
 */
final class RecordCodec<T> implements FieldCodec {
    private final Class<T> type;
    private final Constructor<T> constructor;
    private final List<Method> accessors;
    private final List<FieldCodec> fields;

    private RecordCodec(Class<T> type, Constructor<T> constructor, List<Method> accessors, List<FieldCodec> fields) {
        this.type = type;
        this.constructor = constructor;
        this.accessors = accessors;
        this.fields = fields;
    }

    // -- construction

    static <T> RecordCodec<T> of(Class<T> type) {
        RecordComponent[] components = type.getRecordComponents();
        Class<?>[] types =
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        try {
            return new RecordCodec<>(
                    type,
                    type.getDeclaredConstructor(types),
                    Arrays.stream(components).map(RecordComponent::getAccessor).toList(),
                    Arrays.stream(components)
                            .map(component -> fieldCodec(component.getGenericType()))
                            .toList());
        } catch (NoSuchMethodException e) {
            throw new IllegalArgumentException(type + " is not a record", e);
        }
    }

    private static FieldCodec fieldCodec(Type type) {
        if (type instanceof ParameterizedType listType && listType.getRawType() == List.class) {
            return new ListCodec(fieldCodec(listType.getActualTypeArguments()[0]));
        }
        Class<?> fieldType = (Class<?>) type;
        if (fieldType.isRecord()) {
            return of(fieldType);
        }
        return fieldType.isEnum() ? new EnumCodec(List.of(fieldType.getEnumConstants())) : ScalarCodec.of(fieldType);
    }

    // -- coding

    @Override
    public void write(MessagePacker packer, Object value) throws IOException {
        try {
            for (int i = 0; i < fields.size(); i++) {
                fields.get(i).write(packer, accessors.get(i).invoke(value));
            }
        } catch (IllegalAccessException | InvocationTargetException e) {
            throw new IllegalStateException(type + " cannot be read", e);
        }
    }

    @Override
    public T read(MessageUnpacker unpacker, int limit) throws IOException {
        Object[] values = new Object[fields.size()];
        for (int i = 0; i < values.length; i++) {
            values[i] = fields.get(i).read(unpacker, limit);
        }
        try {
            return constructor.newInstance(values);
        } catch (InvocationTargetException e) {
            throw new BrokenFrameException(
                    type.getSimpleName() + ": " + e.getCause().getMessage(), e);
        } catch (InstantiationException | IllegalAccessException e) {
            throw new IllegalStateException(type + " cannot be made", e);
        }
    }

    // -- field types

    private enum ScalarCodec implements FieldCodec {
        TEXT {
            @Override
            public void write(MessagePacker packer, Object value) throws IOException {
                packer.packString(Utf8Text.encode((String) value));
            }

            @Override
            public Object read(MessageUnpacker unpacker, int limit) throws IOException {
                return Utf8Text.decode(unpacker.unpackString());
            }
        },
        INT {
            @Override
            public void write(MessagePacker packer, Object value) throws IOException {
                packer.packInt((Integer) value);
            }

            @Override
            public Object read(MessageUnpacker unpacker, int limit) throws IOException {
                return unpacker.unpackInt();
            }
        },
        LONG {
            @Override
            public void write(MessagePacker packer, Object value) throws IOException {
                packer.packLong((Long) value);
            }

            @Override
            public Object read(MessageUnpacker unpacker, int limit) throws IOException {
                return unpacker.unpackLong();
            }
        },
        BOOLEAN {
            @Override
            public void write(MessagePacker packer, Object value) throws IOException {
                packer.packBoolean((Boolean) value);
            }

            @Override
            public Object read(MessageUnpacker unpacker, int limit) throws IOException {
                return unpacker.unpackBoolean();
            }
        },
        DURATION {
            @Override
            public void write(MessagePacker packer, Object value) throws IOException {
                packer.packLong(((Duration) value).toMillis());
            }

            @Override
            public Object read(MessageUnpacker unpacker, int limit) throws IOException {
                return Duration.ofMillis(unpacker.unpackLong());
            }
        };

        static FieldCodec of(Class<?> type) {
            if (type == String.class) {
                return TEXT;
            } else if (type == int.class || type == Integer.class) {
                return INT;
            } else if (type == long.class || type == Long.class) {
                return LONG;
            } else if (type == boolean.class || type == Boolean.class) {
                return BOOLEAN;
            } else if (type == Duration.class) {
                return DURATION;
            }
            throw new IllegalArgumentException("no codec for " + type);
        }
    }

    private record EnumCodec(List<?> constants) implements FieldCodec {
        @Override
        public void write(MessagePacker packer, Object value) throws IOException {
            packer.packString(((Enum<?>) value).name());
        }

        @Override
        public Object read(MessageUnpacker unpacker, int limit) throws IOException {
            String name = unpacker.unpackString();
            return constants.stream()
                    .map(Object.class::cast)
                    .filter(constant -> ((Enum<?>) constant).name().equals(name))
                    .findFirst()
                    .orElseThrow(() -> new BrokenFrameException("unknown constant", null));
        }
    }

    private record ListCodec(FieldCodec element) implements FieldCodec {
        @Override
        public void write(MessagePacker packer, Object value) throws IOException {
            List<?> list = (List<?>) value;
            packer.packArrayHeader(list.size());
            for (Object item : list) {
                element.write(packer, item);
            }
        }

        @Override
        public Object read(MessageUnpacker unpacker, int limit) throws IOException {
            int size = unpacker.unpackArrayHeader();
            if (size > limit) {
                throw new BrokenFrameException("a list claims more items than the frame has bytes", null);
            }
            List<Object> items = new ArrayList<>(size);
            for (int i = 0; i < size; i++) {
                items.add(element.read(unpacker, limit));
            }
            return items;
        }
    }
}
