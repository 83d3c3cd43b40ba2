import * as $protobuf from "protobufjs";
import Long = require("long");

/** Namespace vanillarock. */
export namespace vanillarock {

    /** Namespace control. */
    namespace control {

        /**
         * Properties of a Word.
         * @deprecated Use vanillarock.control.Word.$Properties instead.
         */
        interface IWord extends vanillarock.control.Word.$Properties {
        }

        /** Represents a Word. */
        class Word {

            /**
             * Constructs a new Word.
             * @param [properties] Properties to set
             */
            constructor(properties?: vanillarock.control.Word.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Word host. */
            host: string;

            /** Word service. */
            service: string;

            /** Word failureDomain. */
            failureDomain: string;

            /** Word dataAddress. */
            dataAddress: string;

            /** Word controlAddress. */
            controlAddress: string;

            /** Word incarnation. */
            incarnation: string;

            /** Word sequence. */
            sequence: number;

            /** Word draining. */
            draining: boolean;

            /**
             * Creates a new Word instance using the specified properties.
             * @param [properties] Properties to set
             * @returns Word instance
             */
            static create(properties: vanillarock.control.Word.$Shape): vanillarock.control.Word & vanillarock.control.Word.$Shape;
            static create(properties?: vanillarock.control.Word.$Properties): vanillarock.control.Word;

            /**
             * Encodes the specified Word message. Does not implicitly {@link vanillarock.control.Word.verify|verify} messages.
             * @param message Word message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: vanillarock.control.Word.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Word message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {vanillarock.control.Word & vanillarock.control.Word.$Shape} Word
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): vanillarock.control.Word & vanillarock.control.Word.$Shape;

            /**
             * Verifies a Word message.
             * @param message Plain object to verify
             * @returns `null` if valid, otherwise the reason why it is not
             */
            static verify(message: { [k: string]: any }): (string|null);

            /**
             * Gets the type url for Word
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Word {

            /** Properties of a Word. */
            interface $Properties {

                /** Word host */
                host?: (string|null);

                /** Word service */
                service?: (string|null);

                /** Word failureDomain */
                failureDomain?: (string|null);

                /** Word dataAddress */
                dataAddress?: (string|null);

                /** Word controlAddress */
                controlAddress?: (string|null);

                /** Word incarnation */
                incarnation?: (string|null);

                /** Word sequence */
                sequence?: (number|null);

                /** Word draining */
                draining?: (boolean|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a Word. */
            type $Shape = vanillarock.control.Word.$Properties;
        }

        /**
         * Properties of a Hello.
         * @deprecated Use vanillarock.control.Hello.$Properties instead.
         */
        interface IHello extends vanillarock.control.Hello.$Properties {
        }

        /** Represents a Hello. */
        class Hello {

            /**
             * Constructs a new Hello.
             * @param [properties] Properties to set
             */
            constructor(properties?: vanillarock.control.Hello.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Hello word. */
            word?: (vanillarock.control.Word.$Properties|null);

            /** Hello digest. */
            digest: string;

            /** Hello wantsReply. */
            wantsReply: boolean;

            /** Hello words. */
            words: vanillarock.control.Word.$Properties[];

            /**
             * Creates a new Hello instance using the specified properties.
             * @param [properties] Properties to set
             * @returns Hello instance
             */
            static create(properties: vanillarock.control.Hello.$Shape): vanillarock.control.Hello & vanillarock.control.Hello.$Shape;
            static create(properties?: vanillarock.control.Hello.$Properties): vanillarock.control.Hello;

            /**
             * Encodes the specified Hello message. Does not implicitly {@link vanillarock.control.Hello.verify|verify} messages.
             * @param message Hello message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: vanillarock.control.Hello.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Hello message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {vanillarock.control.Hello & vanillarock.control.Hello.$Shape} Hello
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): vanillarock.control.Hello & vanillarock.control.Hello.$Shape;

            /**
             * Verifies a Hello message.
             * @param message Plain object to verify
             * @returns `null` if valid, otherwise the reason why it is not
             */
            static verify(message: { [k: string]: any }): (string|null);

            /**
             * Gets the type url for Hello
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Hello {

            /** Properties of a Hello. */
            interface $Properties {

                /** Hello word */
                word?: (vanillarock.control.Word.$Properties|null);

                /** Hello digest */
                digest?: (string|null);

                /** Hello wantsReply */
                wantsReply?: (boolean|null);

                /** Hello words */
                words?: (vanillarock.control.Word.$Properties[]|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a Hello. */
            type $Shape = vanillarock.control.Hello.$Properties;
        }

        /**
         * Properties of a DocumentRevision.
         * @deprecated Use vanillarock.control.DocumentRevision.$Properties instead.
         */
        interface IDocumentRevision extends vanillarock.control.DocumentRevision.$Properties {
        }

        /** Represents a DocumentRevision. */
        class DocumentRevision {

            /**
             * Constructs a new DocumentRevision.
             * @param [properties] Properties to set
             */
            constructor(properties?: vanillarock.control.DocumentRevision.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** DocumentRevision key. */
            key: string;

            /** DocumentRevision revision. */
            revision: number;

            /**
             * Creates a new DocumentRevision instance using the specified properties.
             * @param [properties] Properties to set
             * @returns DocumentRevision instance
             */
            static create(properties: vanillarock.control.DocumentRevision.$Shape): vanillarock.control.DocumentRevision & vanillarock.control.DocumentRevision.$Shape;
            static create(properties?: vanillarock.control.DocumentRevision.$Properties): vanillarock.control.DocumentRevision;

            /**
             * Encodes the specified DocumentRevision message. Does not implicitly {@link vanillarock.control.DocumentRevision.verify|verify} messages.
             * @param message DocumentRevision message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: vanillarock.control.DocumentRevision.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a DocumentRevision message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {vanillarock.control.DocumentRevision & vanillarock.control.DocumentRevision.$Shape} DocumentRevision
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): vanillarock.control.DocumentRevision & vanillarock.control.DocumentRevision.$Shape;

            /**
             * Verifies a DocumentRevision message.
             * @param message Plain object to verify
             * @returns `null` if valid, otherwise the reason why it is not
             */
            static verify(message: { [k: string]: any }): (string|null);

            /**
             * Gets the type url for DocumentRevision
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace DocumentRevision {

            /** Properties of a DocumentRevision. */
            interface $Properties {

                /** DocumentRevision key */
                key?: (string|null);

                /** DocumentRevision revision */
                revision?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a DocumentRevision. */
            type $Shape = vanillarock.control.DocumentRevision.$Properties;
        }

        /**
         * Properties of an Index.
         * @deprecated Use vanillarock.control.Index.$Properties instead.
         */
        interface IIndex extends vanillarock.control.Index.$Properties {
        }

        /** Represents an Index. */
        class Index {

            /**
             * Constructs a new Index.
             * @param [properties] Properties to set
             */
            constructor(properties?: vanillarock.control.Index.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Index revisions. */
            revisions: vanillarock.control.DocumentRevision.$Properties[];

            /**
             * Creates a new Index instance using the specified properties.
             * @param [properties] Properties to set
             * @returns Index instance
             */
            static create(properties: vanillarock.control.Index.$Shape): vanillarock.control.Index & vanillarock.control.Index.$Shape;
            static create(properties?: vanillarock.control.Index.$Properties): vanillarock.control.Index;

            /**
             * Encodes the specified Index message. Does not implicitly {@link vanillarock.control.Index.verify|verify} messages.
             * @param message Index message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: vanillarock.control.Index.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes an Index message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {vanillarock.control.Index & vanillarock.control.Index.$Shape} Index
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): vanillarock.control.Index & vanillarock.control.Index.$Shape;

            /**
             * Verifies an Index message.
             * @param message Plain object to verify
             * @returns `null` if valid, otherwise the reason why it is not
             */
            static verify(message: { [k: string]: any }): (string|null);

            /**
             * Gets the type url for Index
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Index {

            /** Properties of an Index. */
            interface $Properties {

                /** Index revisions */
                revisions?: (vanillarock.control.DocumentRevision.$Properties[]|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of an Index. */
            type $Shape = vanillarock.control.Index.$Properties;
        }

        /**
         * Properties of a Fetch.
         * @deprecated Use vanillarock.control.Fetch.$Properties instead.
         */
        interface IFetch extends vanillarock.control.Fetch.$Properties {
        }

        /** Represents a Fetch. */
        class Fetch {

            /**
             * Constructs a new Fetch.
             * @param [properties] Properties to set
             */
            constructor(properties?: vanillarock.control.Fetch.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Fetch keys. */
            keys: string[];

            /**
             * Creates a new Fetch instance using the specified properties.
             * @param [properties] Properties to set
             * @returns Fetch instance
             */
            static create(properties: vanillarock.control.Fetch.$Shape): vanillarock.control.Fetch & vanillarock.control.Fetch.$Shape;
            static create(properties?: vanillarock.control.Fetch.$Properties): vanillarock.control.Fetch;

            /**
             * Encodes the specified Fetch message. Does not implicitly {@link vanillarock.control.Fetch.verify|verify} messages.
             * @param message Fetch message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: vanillarock.control.Fetch.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Fetch message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {vanillarock.control.Fetch & vanillarock.control.Fetch.$Shape} Fetch
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): vanillarock.control.Fetch & vanillarock.control.Fetch.$Shape;

            /**
             * Verifies a Fetch message.
             * @param message Plain object to verify
             * @returns `null` if valid, otherwise the reason why it is not
             */
            static verify(message: { [k: string]: any }): (string|null);

            /**
             * Gets the type url for Fetch
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Fetch {

            /** Properties of a Fetch. */
            interface $Properties {

                /** Fetch keys */
                keys?: (string[]|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a Fetch. */
            type $Shape = vanillarock.control.Fetch.$Properties;
        }

        /**
         * Properties of a Document.
         * @deprecated Use vanillarock.control.Document.$Properties instead.
         */
        interface IDocument extends vanillarock.control.Document.$Properties {
        }

        /** Represents a Document. */
        class Document {

            /**
             * Constructs a new Document.
             * @param [properties] Properties to set
             */
            constructor(properties?: vanillarock.control.Document.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Document key. */
            key: string;

            /** Document revision. */
            revision: number;

            /** Document value. */
            value: string;

            /**
             * Creates a new Document instance using the specified properties.
             * @param [properties] Properties to set
             * @returns Document instance
             */
            static create(properties: vanillarock.control.Document.$Shape): vanillarock.control.Document & vanillarock.control.Document.$Shape;
            static create(properties?: vanillarock.control.Document.$Properties): vanillarock.control.Document;

            /**
             * Encodes the specified Document message. Does not implicitly {@link vanillarock.control.Document.verify|verify} messages.
             * @param message Document message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: vanillarock.control.Document.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Document message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {vanillarock.control.Document & vanillarock.control.Document.$Shape} Document
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): vanillarock.control.Document & vanillarock.control.Document.$Shape;

            /**
             * Verifies a Document message.
             * @param message Plain object to verify
             * @returns `null` if valid, otherwise the reason why it is not
             */
            static verify(message: { [k: string]: any }): (string|null);

            /**
             * Gets the type url for Document
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Document {

            /** Properties of a Document. */
            interface $Properties {

                /** Document key */
                key?: (string|null);

                /** Document revision */
                revision?: (number|null);

                /** Document value */
                value?: (string|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a Document. */
            type $Shape = vanillarock.control.Document.$Properties;
        }

        /**
         * Properties of a Documents.
         * @deprecated Use vanillarock.control.Documents.$Properties instead.
         */
        interface IDocuments extends vanillarock.control.Documents.$Properties {
        }

        /** Represents a Documents. */
        class Documents {

            /**
             * Constructs a new Documents.
             * @param [properties] Properties to set
             */
            constructor(properties?: vanillarock.control.Documents.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Documents documents. */
            documents: vanillarock.control.Document.$Properties[];

            /**
             * Creates a new Documents instance using the specified properties.
             * @param [properties] Properties to set
             * @returns Documents instance
             */
            static create(properties: vanillarock.control.Documents.$Shape): vanillarock.control.Documents & vanillarock.control.Documents.$Shape;
            static create(properties?: vanillarock.control.Documents.$Properties): vanillarock.control.Documents;

            /**
             * Encodes the specified Documents message. Does not implicitly {@link vanillarock.control.Documents.verify|verify} messages.
             * @param message Documents message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: vanillarock.control.Documents.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Documents message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {vanillarock.control.Documents & vanillarock.control.Documents.$Shape} Documents
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): vanillarock.control.Documents & vanillarock.control.Documents.$Shape;

            /**
             * Verifies a Documents message.
             * @param message Plain object to verify
             * @returns `null` if valid, otherwise the reason why it is not
             */
            static verify(message: { [k: string]: any }): (string|null);

            /**
             * Gets the type url for Documents
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Documents {

            /** Properties of a Documents. */
            interface $Properties {

                /** Documents documents */
                documents?: (vanillarock.control.Document.$Properties[]|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a Documents. */
            type $Shape = vanillarock.control.Documents.$Properties;
        }

        /**
         * Properties of a ControlMessage.
         * @deprecated Use vanillarock.control.ControlMessage.$Properties instead.
         */
        interface IControlMessage extends vanillarock.control.ControlMessage.$Properties {
        }

        /** Represents a ControlMessage. */
        class ControlMessage {

            /**
             * Constructs a new ControlMessage.
             * @param [properties] Properties to set
             */
            constructor(properties?: vanillarock.control.ControlMessage.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** ControlMessage from. */
            from?: (vanillarock.control.Word.$Properties|null);

            /** ControlMessage hello. */
            hello?: (vanillarock.control.Hello.$Properties|null);

            /** ControlMessage index. */
            index?: (vanillarock.control.Index.$Properties|null);

            /** ControlMessage fetch. */
            fetch?: (vanillarock.control.Fetch.$Properties|null);

            /** ControlMessage documents. */
            documents?: (vanillarock.control.Documents.$Properties|null);

            /** ControlMessage body. */
            body?: ("hello"|"index"|"fetch"|"documents");

            /**
             * Creates a new ControlMessage instance using the specified properties.
             * @param [properties] Properties to set
             * @returns ControlMessage instance
             */
            static create(properties: vanillarock.control.ControlMessage.$Shape): vanillarock.control.ControlMessage & vanillarock.control.ControlMessage.$Shape;
            static create(properties?: vanillarock.control.ControlMessage.$Properties): vanillarock.control.ControlMessage;

            /**
             * Encodes the specified ControlMessage message. Does not implicitly {@link vanillarock.control.ControlMessage.verify|verify} messages.
             * @param message ControlMessage message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: vanillarock.control.ControlMessage.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a ControlMessage message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {vanillarock.control.ControlMessage & vanillarock.control.ControlMessage.$Shape} ControlMessage
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): vanillarock.control.ControlMessage & vanillarock.control.ControlMessage.$Shape;

            /**
             * Verifies a ControlMessage message.
             * @param message Plain object to verify
             * @returns `null` if valid, otherwise the reason why it is not
             */
            static verify(message: { [k: string]: any }): (string|null);

            /**
             * Gets the type url for ControlMessage
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace ControlMessage {

            /** Properties of a ControlMessage. */
            interface $Properties {

                /** ControlMessage from */
                from?: (vanillarock.control.Word.$Properties|null);

                /** ControlMessage hello */
                hello?: (vanillarock.control.Hello.$Properties|null);

                /** ControlMessage index */
                index?: (vanillarock.control.Index.$Properties|null);

                /** ControlMessage fetch */
                fetch?: (vanillarock.control.Fetch.$Properties|null);

                /** ControlMessage documents */
                documents?: (vanillarock.control.Documents.$Properties|null);

                /** ControlMessage body */
                body?: ("hello"|"index"|"fetch"|"documents");

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Narrowed shape of a ControlMessage. */
            type $Shape = {
              from?: vanillarock.control.Word.$Shape|null;
              hello?: vanillarock.control.Hello.$Shape|null;
              index?: vanillarock.control.Index.$Shape|null;
              fetch?: vanillarock.control.Fetch.$Shape|null;
              documents?: vanillarock.control.Documents.$Shape|null;
              $unknowns?: Uint8Array[];
            } & (
              ({ body?: undefined; hello?: null; index?: null; fetch?: null; documents?: null }|{ body?: "hello"; hello: vanillarock.control.Hello.$Shape; index?: null; fetch?: null; documents?: null }|{ body?: "index"; hello?: null; index: vanillarock.control.Index.$Shape; fetch?: null; documents?: null }|{ body?: "fetch"; hello?: null; index?: null; fetch: vanillarock.control.Fetch.$Shape; documents?: null }|{ body?: "documents"; hello?: null; index?: null; fetch?: null; documents: vanillarock.control.Documents.$Shape })
            );
        }

        /**
         * Properties of an Ack.
         * @deprecated Use vanillarock.control.Ack.$Properties instead.
         */
        interface IAck extends vanillarock.control.Ack.$Properties {
        }

        /** Represents an Ack. */
        class Ack {

            /**
             * Constructs a new Ack.
             * @param [properties] Properties to set
             */
            constructor(properties?: vanillarock.control.Ack.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /**
             * Creates a new Ack instance using the specified properties.
             * @param [properties] Properties to set
             * @returns Ack instance
             */
            static create(properties: vanillarock.control.Ack.$Shape): vanillarock.control.Ack & vanillarock.control.Ack.$Shape;
            static create(properties?: vanillarock.control.Ack.$Properties): vanillarock.control.Ack;

            /**
             * Encodes the specified Ack message. Does not implicitly {@link vanillarock.control.Ack.verify|verify} messages.
             * @param message Ack message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: vanillarock.control.Ack.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes an Ack message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {vanillarock.control.Ack & vanillarock.control.Ack.$Shape} Ack
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): vanillarock.control.Ack & vanillarock.control.Ack.$Shape;

            /**
             * Verifies an Ack message.
             * @param message Plain object to verify
             * @returns `null` if valid, otherwise the reason why it is not
             */
            static verify(message: { [k: string]: any }): (string|null);

            /**
             * Gets the type url for Ack
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Ack {

            /** Properties of an Ack. */
            interface $Properties {

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of an Ack. */
            type $Shape = vanillarock.control.Ack.$Properties;
        }
    }
}
